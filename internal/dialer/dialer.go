// Package dialer opens connections to backend servers, for clients of package fasthttp.
//
// A failed dial has its own error type: it proves that no byte of a request left.
package dialer

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/deadlineconn"
	"github.com/dalebend/dalebend/internal/statuscheck"
)

// Dialer opens connections on which each read and write must progress in time.
// Set the exported fields before the first use.
type Dialer struct {
	// Clock gives the time.
	Clock clockwork.Clock
	// Timeout bounds one dial.
	Timeout time.Duration
	// ReadIdle and WriteIdle bound one read and one write.
	ReadIdle  time.Duration
	WriteIdle time.Duration

	open sync.Map // local address -> *tracked
}

// tracked is an open connection that Abort can find.
type tracked struct {
	net.Conn

	dialer *Dialer
	local  string
}

// Close forgets the connection and closes it.
func (t *tracked) Close() error {
	t.dialer.open.CompareAndDelete(t.local, t)
	return t.Conn.Close()
}

// Error is a dial that failed.
type Error struct {
	addr string
	err  error
}

// Error says which address failed and why.
func (e *Error) Error() string { return fmt.Sprintf("dial %s: %v", e.addr, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Dial opens one connection.
func (d *Dialer) Dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, d.Timeout)
	if err != nil {
		return nil, &Error{addr: addr, err: err}
	}
	bounded := &deadlineconn.Conn{Conn: c, Clock: d.Clock, ReadIdle: d.ReadIdle, WriteIdle: d.WriteIdle}
	t := &tracked{Conn: &statuscheck.Conn{Conn: bounded}, dialer: d, local: c.LocalAddr().String()}
	d.open.Store(t.local, t)
	return t, nil
}

// AbortAll closes every open connection, so that calls that wait fail.
func (d *Dialer) AbortAll() {
	d.open.Range(func(_, t any) bool {
		_ = t.(*tracked).Close()
		return true
	})
}

// Abort closes the open connection with this local address, if there is one, so
// that a read that waits on it fails.
func (d *Dialer) Abort(local string) {
	if t, ok := d.open.Load(local); ok {
		_ = t.(*tracked).Close()
	}
}
