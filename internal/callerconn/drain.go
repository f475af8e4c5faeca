package callerconn

import (
	"errors"
	"syscall"
)

// maxWriteBytes bounds one write of buffered data, so that a caller that takes a part of a large
// buffer does not seem to make no progress.
const maxWriteBytes = 64 << 10

// try writes what the kernel accepts without blocking.
func (c *Conn) try(p []byte) (int, error) {
	c.out = p
	failed := c.raw.Write(c.tryWrite)
	c.out = nil
	if failed != nil {
		return 0, failed
	}
	return c.written, c.writeErr
}

// attempt writes out once. It returns true in any case, so that raw.Write does not wait.
func (c *Conn) attempt(fd uintptr) bool {
	c.written, c.writeErr = write(fd, c.out)
	return true
}

// write writes what the kernel accepts, possibly 0 bytes.
func write(fd uintptr, p []byte) (int, error) {
	for {
		n, err := syscall.Write(int(fd), p)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		case err != nil:
			return 0, err
		default:
			return n, nil
		}
	}
}

// drain writes the buffered data as the caller reads.
func (c *Conn) drain() {
	for {
		p := c.next()
		if p == nil {
			return
		}
		for len(p) > 0 {
			n, err := c.writeSome(p)
			if err != nil {
				c.fail(err)
				return
			}
			p = p[n:]
			c.recordSent(n)
		}
	}
}

// next takes the buffered data, or ends the drain goroutine.
func (c *Conn) next() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pending
	c.pending = nil
	if len(p) > 0 && c.failed == nil {
		return p
	}
	c.draining = false
	if c.failed != nil {
		// The caller was dropped between two writes: discard the buffer.
		c.accounting.RemoveSent(int(c.unsent.Swap(0)), true)
	}
	c.finishCloseLocked()
	return nil
}

// writeSome blocks until the kernel accepts some of p.
func (c *Conn) writeSome(p []byte) (n int, err error) {
	part := p[:min(len(p), maxWriteBytes)]
	failed := c.raw.Write(func(fd uintptr) bool {
		n, err = write(fd, part)
		return n > 0 || err != nil
	})
	return n, errors.Join(failed, err)
}

// recordSent counts bytes that the kernel accepted.
func (c *Conn) recordSent(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.unsent.Add(-int64(n))
	c.accounting.RemoveSent(n, left == 0)
	c.wakeLocked()
}

// fail drops the buffered data and closes the connection, which also ends a read.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	if c.failed == nil {
		c.failed = err
	}
	c.pending = nil
	c.draining = false
	c.accounting.RemoveSent(int(c.unsent.Swap(0)), true)
	c.wakeLocked()
	c.mu.Unlock()
	_ = c.Conn.Close() // the first error counts
}
