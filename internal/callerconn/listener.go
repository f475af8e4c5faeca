package callerconn

import (
	"net"
	"sync/atomic"

	"github.com/dalebend/dalebend/internal/bufferlimit"
)

// Listener accepts connections of callers.
type Listener struct {
	net.Listener

	// Buffers accounts for their buffers.
	Buffers *bufferlimit.Accounting

	ending atomic.Bool
}

// CloseImmediately makes connections close without waiting for buffered data from now on.
func (l *Listener) CloseImmediately() { l.ending.Store(true) }

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := newConn(nc, l.Buffers, &l.ending)
		if err == nil {
			return c, nil
		}
		// A single unusable connection must not end the listener.
		_ = nc.Close() // the first error counts
	}
}
