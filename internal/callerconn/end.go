package callerconn

import "time"

// cut ends a connection that gave way, or the body that is read from it.
func (c *Conn) cut() {
	c.mu.Lock()
	arriving := c.arriving
	if !arriving && c.failed == nil {
		c.failed = c.hold.Err()
	}
	c.wakeLocked()
	c.mu.Unlock()
	if arriving {
		// A time that is over ends a read.
		_ = c.SetReadDeadline(time.Unix(1, 0)) // it fails only on a closed connection
		return
	}
	_ = c.Conn.Close() // an error says that it is closed already
}

// Drop ends a connection whose caller is too slow, with what is kept for it.
func (c *Conn) Drop(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = cause
	}
	c.wakeLocked()
	_ = c.Conn.Close() // an error says that it is closed already
}

// CloseWrite ends the writing side once nothing is left.
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

// Close closes the connection once nothing is left. The book ends one whose caller stays away.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.draining && c.failed == nil && !c.ending.Load() {
		return nil
	}
	return c.closeLocked()
}

// endLocked does what waited for the last byte. The lock must be held.
func (c *Conn) endLocked() {
	switch {
	case c.closing:
		_ = c.closeLocked() // nobody is left to be told
	case c.halfClosing:
		_ = c.closeWrite() // the same
	}
}

// closeLocked closes the connection and ends its count. The lock must be held.
func (c *Conn) closeLocked() error {
	err := c.Conn.Close()
	c.hold.Close()
	return err
}
