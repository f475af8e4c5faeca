package deadlineconn

import (
	"net"
	"time"

	"github.com/jonboulle/clockwork"
)

// Listener accepts connections whose writes must progress in time.
type Listener struct {
	net.Listener

	// Clock gives the time.
	Clock clockwork.Clock
	// WriteIdle bounds one write.
	WriteIdle time.Duration
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, Clock: l.Clock, WriteIdle: l.WriteIdle}, nil
}
