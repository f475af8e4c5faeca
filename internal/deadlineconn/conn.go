// Package deadlineconn bounds how long a connection may make no progress.
//
// HTTP libraries set one deadline for a whole exchange, which a stream of
// unknown length outlives. Here each read or write may get a deadline of its
// own; the library's deadlines for that direction are then ignored.
package deadlineconn

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/clockctx"
)

// Conn is a connection on which each read and write must progress in time.
type Conn struct {
	net.Conn

	// Clock gives the time.
	Clock clockwork.Clock
	// ReadIdle bounds one read; 0 leaves the library's deadlines in force.
	ReadIdle time.Duration
	// WriteIdle bounds one write; 0 leaves the library's deadlines in force.
	WriteIdle time.Duration

	linger atomic.Bool
}

// Read reads within ReadIdle.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ReadIdle > 0 {
		if err := c.Conn.SetReadDeadline(c.at(c.ReadIdle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// Write writes within WriteIdle.
func (c *Conn) Write(p []byte) (int, error) {
	if c.WriteIdle > 0 {
		if err := c.Conn.SetWriteDeadline(c.at(c.WriteIdle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// at returns the time of the network that is so far away.
func (c *Conn) at(d time.Duration) time.Time {
	return clockctx.RuntimeTime(c.Clock, c.Clock.Now().Add(d))
}

// SetDeadline sets both deadlines, for the directions that have no bound here.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline does nothing when ReadIdle replaces deadlines.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.ReadIdle > 0 {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline does nothing when WriteIdle replaces deadlines.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.WriteIdle > 0 {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// SyscallConn gives the raw connection, for looking at it without reading.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	return sc.SyscallConn()
}
