package callerconn

import "time"

// abort ends the connection of a dropped caller, or only the body that is being read from it.
func (c *Conn) abort() {
	c.mu.Lock()
	arriving := c.receivingBody
	if !arriving && c.failed == nil {
		c.failed = c.accounting.Err()
	}
	c.wakeLocked()
	c.mu.Unlock()
	if arriving {
		// A deadline in the past ends the read.
		_ = c.SetReadDeadline(time.Unix(1, 0)) // it fails only on a closed connection
		return
	}
	_ = c.Conn.Close() // an error means that it is already closed
}

// Drop closes the connection of a caller that is too slow and discards its buffer.
func (c *Conn) Drop(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = cause
	}
	c.wakeLocked()
	_ = c.Conn.Close() // an error means that it is already closed
}

// CloseWrite closes the writing side once nothing is buffered.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halfClosing = true
	if c.draining && c.failed == nil {
		return nil
	}
	return c.closeWrite()
}

func (c *Conn) closeWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection once nothing is buffered. The accounting drops callers that never
// read.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.draining && c.failed == nil && !c.ending.Load() {
		return nil
	}
	return c.closeLocked()
}

// finishCloseLocked performs a pending close after the last byte. The lock must be held.
func (c *Conn) finishCloseLocked() {
	switch {
	case c.closing:
		_ = c.closeLocked() // nobody is left to report an error to
	case c.halfClosing:
		_ = c.closeWrite() // the same
	}
}

// closeLocked closes the connection and ends its accounting. The lock must be held.
func (c *Conn) closeLocked() error {
	err := c.Conn.Close()
	c.accounting.Close()
	return err
}
