package connlimit

import (
	"container/list"
	"net"
	"net/http"

	"github.com/dalebend/dalebend/internal/headcost"
)

// phase is what a connection does.
type phase uint8

const (
	// waiting: the next head is awaited, or arrives.
	waiting phase = iota
	// idle: no message is in progress, and nothing of the next one has arrived.
	idle
	// busy: a message is being handled.
	busy
	// uncounted: the protocol has no heads.
	uncounted
	closed
)

// Conn is a connection that a Limiter counts. A nil Conn is none.
type Conn struct {
	*net.TCPConn

	limiter *Limiter
	// The fields below are guarded by the limiter's lock.
	phase phase
	place *list.Element
	// cost is that of the present head, charged the part of it that counts.
	cost, charged int64
}

// Read reads from the connection, and counts it while a head is awaited.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.limiter.count(c, p[:n]) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	return n, err
}

// Begin records that a head has arrived whole, with these fields, and that its message is handled now. It reports whether
// there is memory for it, and the connection has not been closed for others meanwhile; else the message must not be handled.
func (c *Conn) Begin(h http.Header) bool {
	if c == nil {
		return true
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.phase == closed {
		return false
	}
	c.limiter.move(c, busy)
	c.limiter.charge(c, headcost.OfHeader(h))
	return c.charged == 0 || !c.limiter.overHeads()
}

// End records that the message has been handled.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.phase != closed {
		c.limiter.move(c, idle)
		c.limiter.charge(c, 0)
		c.limiter.signalEnded()
	}
}

// Uncount records that the protocol of the connection has no heads.
func (c *Conn) Uncount() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.phase != closed {
		c.limiter.move(c, uncounted)
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.mu.Unlock()
	return c.TCPConn.Close()
}
