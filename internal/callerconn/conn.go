// Package callerconn writes to callers without blocking.
//
// A write sends what the kernel accepts immediately. The rest is buffered, counted in a
// bufferlimit.Accounting, and written by a goroutine as the caller reads. Writers of large answers
// wait for buffer capacity first.
//
// Invariants: bytes are sent in the order of the writes; a connection that is closed with data
// buffered closes once that is written, unless its caller was dropped or it failed.
package callerconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/dalebend/dalebend/internal/bufferlimit"
)

// Conn is a connection of a caller. Listener creates it.
type Conn struct {
	net.Conn

	raw        syscall.RawConn
	accounting *bufferlimit.Connection
	// ending is set when the process ends, so that Close no longer waits for buffered data.
	ending *atomic.Bool
	// unsent is the number of buffered bytes.
	unsent atomic.Int64

	mu sync.Mutex
	// pending holds the buffered bytes, without those being written.
	pending []byte
	// draining is set while the drain goroutine runs.
	draining bool
	failed   error
	// closing is set if the connection closes once nothing is buffered, halfClosing if only its
	// writing side does.
	closing, halfClosing bool
	// receivingBody is set while a request's body is read; abort then ends that read.
	receivingBody bool
	// changed, if there is a waiter, is closed when bytes were sent or the connection failed.
	changed chan struct{}

	// tryWrite is the method value of attempt, created once because each write would allocate it.
	// The other fields are its input and results.
	tryWrite func(fd uintptr) bool
	out      []byte
	written  int
	writeErr error
}

// newConn returns a connection that is counted in accounting; ending is shared with its listener.
func newConn(nc net.Conn, accounting *bufferlimit.Accounting, ending *atomic.Bool) (*Conn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.New("a caller's connection has no descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("reach the descriptor of a caller's connection: %w", err)
	}
	c := &Conn{Conn: nc, raw: raw, ending: ending}
	c.tryWrite = c.attempt
	c.accounting = accounting.Open(c.abort)
	return c, nil
}

// Buffers returns the accounting of the connection's buffers.
func (c *Conn) Buffers() *bufferlimit.Connection { return c.accounting }

// Write writes or buffers all of p. It never blocks.
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
	c.unsent.Add(int64(len(rest)))
	c.accounting.AddUnsent(len(rest))
	c.pending = append(c.pending, rest...)
	if !c.draining {
		c.draining = true
		go c.drain()
	}
	return len(p), nil
}

// AwaitUnsent waits until at most n bytes are unsent. The error is that of the connection, the
// reason for dropping the caller, or that of the context.
func (c *Conn) AwaitUnsent(ctx context.Context, n int) error {
	for {
		changed, err := c.waitChannel(n)
		if changed == nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if err := c.accounting.Err(); err != nil {
				return err
			}
			return ctx.Err()
		}
	}
}

// waitChannel returns a channel to wait on, or nil when the wait is over.
func (c *Conn) waitChannel(n int) (<-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return nil, c.failed
	}
	if c.unsent.Load() <= int64(n) {
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

// Unsent returns the number of bytes that the caller has not taken.
func (c *Conn) Unsent() int { return int(c.unsent.Load()) }

// SetReceivingBody records whether a request's body is being read, which also waits for the caller.
func (c *Conn) SetReceivingBody(is bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivingBody = is
	switch {
	case is:
		c.accounting.StartWaiting()
	case c.unsent.Load() == 0:
		c.accounting.StopWaiting()
	}
}
