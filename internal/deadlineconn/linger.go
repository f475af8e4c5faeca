package deadlineconn

import (
	"io"
	"time"
)

const (
	// lingerTime and lingerBytes bound what a lingering connection reads after its end was sent: callers that
	// do not read the answer meanwhile send on until then.
	lingerTime  = time.Second
	lingerBytes = 4 << 20
)

// Linger makes Close send the end of the connection, and read on for a while. An answer to a request that
// has not been read to its end would be lost otherwise: closing with unread bytes resets the connection.
func (c *Conn) Linger() { c.linger.Store(true) }

// Close closes the connection.
func (c *Conn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.linger.Swap(false) || half.CloseWrite() != nil {
		return c.Conn.Close()
	}
	if err := c.Conn.SetReadDeadline(c.at(lingerTime)); err == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // how it ends is of no consequence
	}
	return c.Conn.Close()
}
