// Package callerconn writes to callers without waiting for them.
//
// A write takes what the kernel takes at once. The rest is kept, counted in a backlog.Book, and
// written as the caller reads; only then is there a goroutine. Who writes a lot asks for room first.
//
// Invariants: bytes leave in the order of the writes; a connection that is closed while something
// is kept closes once that is written, unless it gave way or failed.
package callerconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dalebend/dalebend/internal/backlog"
)

// writeMost bounds one write of what was kept, in bytes, so that progress shows.
const writeMost = 64 << 10

// Conn is a connection of a caller. Get one from Listener.
type Conn struct {
	net.Conn

	raw  syscall.RawConn
	hold *backlog.Hold
	// ending tells whether the process ends, so that nothing is waited for.
	ending *atomic.Bool
	// left is the number of bytes kept.
	left atomic.Int64

	mu sync.Mutex
	// kept are the bytes that wait, without those that are being written.
	kept []byte
	// draining is set while a goroutine writes.
	draining bool
	failed   error
	// closing is set when the connection closes once nothing is left; halfClosing when only its
	// writing side does.
	closing, halfClosing bool
	// arriving is set while a request's body is read, which is what a cut ends then.
	arriving bool
	// changed, if somebody waits, is closed when bytes left or the connection failed.
	changed chan struct{}

	// tryWrite is attempt, made once, as each write would have to allocate it. The others are
	// its input and outcome.
	tryWrite func(fd uintptr) bool
	out      []byte
	took     int
	tookErr  error
}

func newConn(nc net.Conn, book *backlog.Book, ending *atomic.Bool) (*Conn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection of a caller has no descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, raw: raw, ending: ending}
	c.tryWrite = c.attempt
	c.hold = book.Open(c.cut)
	return c, nil
}

// Hold is what is kept for the connection.
func (c *Conn) Hold() *backlog.Hold { return c.hold }

// Write writes or keeps all of p. It never waits.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return 0, c.failed
	}
	rest := p
	if !c.draining {
		n, err := c.try(p)
		if err != nil {
			c.failed = err
			return n, err
		}
		rest = p[n:]
	}
	if len(rest) == 0 {
		return len(p), nil
	}
	c.left.Add(int64(len(rest)))
	c.hold.Kept(len(rest))
	c.kept = append(c.kept, rest...)
	if !c.draining {
		c.draining = true
		go c.drain()
	}
	return len(p), nil
}

// try writes what the kernel takes now.
func (c *Conn) try(p []byte) (int, error) {
	c.out = p
	failed := c.raw.Write(c.tryWrite)
	c.out = nil
	if failed != nil {
		return 0, failed
	}
	return c.took, c.tookErr
}

func (c *Conn) attempt(fd uintptr) bool {
	c.took, c.tookErr = write(fd, c.out)
	return true
}

// write writes what the kernel takes, 0 bytes if none.
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

// drain writes what is kept as the caller reads.
func (c *Conn) drain() {
	for {
		p := c.next()
		if p == nil {
			return
		}
		for len(p) > 0 {
			n, err := c.some(p)
			if err != nil {
				c.fail(err)
				return
			}
			p = p[n:]
			c.note(n)
		}
	}
}

// next takes what is kept, or ends the goroutine.
func (c *Conn) next() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.kept
	c.kept = nil
	if len(p) > 0 && c.failed == nil {
		return p
	}
	c.draining = false
	if c.failed == nil {
		c.endLocked()
	}
	return nil
}

// some waits until the kernel takes some of p.
func (c *Conn) some(p []byte) (n int, err error) {
	part := p[:min(len(p), writeMost)]
	failed := c.raw.Write(func(fd uintptr) bool {
		n, err = write(fd, part)
		return n > 0 || err != nil
	})
	return n, errors.Join(failed, err)
}

// note counts bytes that the caller took.
func (c *Conn) note(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.left.Add(-int64(n))
	c.hold.Took(n, left == 0)
	c.wakeLocked()
}

// fail drops what is kept and closes the connection, so that its reader sees the end, too.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	if c.failed == nil {
		c.failed = err
	}
	c.kept = nil
	c.draining = false
	c.hold.Took(int(c.left.Swap(0)), true)
	c.wakeLocked()
	c.mu.Unlock()
	_ = c.Conn.Close() // the first error counts
}

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

// Await waits until at most n bytes are left to write. It returns why the connection failed or
// gave way, or the end of the context.
func (c *Conn) Await(ctx context.Context, n int) error {
	for {
		changed, err := c.look(n)
		if changed == nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if err := c.hold.Err(); err != nil {
				return err
			}
			return ctx.Err()
		}
	}
}

// look returns a channel to wait for, or nil when the wait is over.
func (c *Conn) look(n int) (<-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return nil, c.failed
	}
	if c.left.Load() <= int64(n) {
		return nil, nil
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed, nil
}

func (c *Conn) wakeLocked() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Left returns the number of bytes that the caller hasn't taken.
func (c *Conn) Left() int { return int(c.left.Load()) }

// Arriving tells whether a request's body is being read, for which the caller is waited for, too.
func (c *Conn) Arriving(is bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arriving = is
	switch {
	case is:
		c.hold.Waits()
	case c.left.Load() == 0:
		c.hold.Rests()
	}
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

// endLocked does what waited for the last byte.
func (c *Conn) endLocked() {
	switch {
	case c.closing:
		_ = c.closeLocked() // nobody is left to be told
	case c.halfClosing:
		_ = c.closeWrite() // the same
	}
}

func (c *Conn) closeLocked() error {
	err := c.Conn.Close()
	c.hold.Close()
	return err
}
