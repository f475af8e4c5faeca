// Package msglimit bounds the messages that arrive on a connection on which both sides take turns.
//
// net/rpc decodes a message of any size, for as long as its bytes arrive.
package msglimit

import (
	"errors"
	"net"
	"sync/atomic"
)

// ErrTooLong is the error of a read after a message beyond the bound.
var ErrTooLong = errors.New("message of the peer is too long")

// Conn is a connection that reads at most a bound between two writes. Its methods may be called
// concurrently.
type Conn struct {
	net.Conn

	bound int64
	read  atomic.Int64 // since the last write
}

// New returns a connection that reads at most bound bytes between two writes.
func New(conn net.Conn, bound int64) *Conn { return &Conn{Conn: conn, bound: bound} }

// Read reads from the peer.
func (c *Conn) Read(p []byte) (int, error) {
	left := c.bound - c.read.Load()
	if left <= 0 {
		return 0, ErrTooLong
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	c.read.Add(int64(n))
	return n, err
}

// Write writes to the peer, which may answer with another message.
func (c *Conn) Write(p []byte) (int, error) {
	c.read.Store(0)
	return c.Conn.Write(p)
}
