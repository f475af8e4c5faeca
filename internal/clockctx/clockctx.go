// Package clockctx has contexts that end by a given clock.
//
// Those of package context end by the monotonic clock of the operating system, which stops while
// the machine is suspended; so do those of clockwork, except with fake clocks.
package clockctx

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout is WithDeadline with a time from now.
func WithTimeout(parent context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	if fake, ok := clock.(*clockwork.FakeClock); ok {
		return clockwork.WithTimeout(parent, fake, d)
	}
	return newDeadline(parent, clock, clock.Now().Add(d), d)
}

// WithDeadline returns a context that ends with context.DeadlineExceeded at a time of the clock.
func WithDeadline(parent context.Context, clock clockwork.Clock, t time.Time) (context.Context, context.CancelFunc) {
	if fake, ok := clock.(*clockwork.FakeClock); ok {
		return clockwork.WithDeadline(parent, fake, t)
	}
	return newDeadline(parent, clock, t, clock.Until(t))
}

func newDeadline(parent context.Context, clock clockwork.Clock, t time.Time, d time.Duration) (context.Context, context.CancelFunc) {
	c := &deadline{parent: parent, at: RuntimeTime(clock, t), done: make(chan struct{})}
	timer := clock.AfterFunc(d, func() { c.end(context.DeadlineExceeded) })
	stop := context.AfterFunc(parent, func() { c.end(parent.Err()) })
	return c, func() {
		c.end(context.Canceled)
		timer.Stop()
		stop()
	}
}

// RuntimeTime converts a time of a clock to one of package time, for calls that compare it with
// that clock.
func RuntimeTime(clock clockwork.Clock, t time.Time) time.Time {
	if own, ok := clock.(interface{ RuntimeTime(t time.Time) time.Time }); ok {
		return own.RuntimeTime(t)
	}
	return t
}

// deadline is a context that ends by a clock.
type deadline struct {
	parent context.Context //nolint:containedctx // it is a context itself
	at     time.Time
	done   chan struct{}

	mu    sync.Mutex
	err   error
	after map[*func()]struct{}
}

// end ends the context, once.
func (c *deadline) end(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	after := c.after
	c.after = nil
	close(c.done)
	c.mu.Unlock()
	for f := range after {
		go (*f)()
	}
}

// Deadline returns the deadline as a time of package time.
func (c *deadline) Deadline() (time.Time, bool) { return c.at, true }

// Done is closed when the context has ended.
func (c *deadline) Done() <-chan struct{} { return c.done }

// Err returns why the context ended, or nil.
func (c *deadline) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Value returns the parent's value.
func (c *deadline) Value(key any) any { return c.parent.Value(key) }

// AfterFunc calls f once the context has ended. Package context uses it for children, each of which
// would otherwise take a goroutine.
func (c *deadline) AfterFunc(f func()) (stop func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		go f()
		return func() bool { return false }
	}
	if c.after == nil {
		c.after = make(map[*func()]struct{})
	}
	key := &f
	c.after[key] = struct{}{}
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, waiting := c.after[key]
		delete(c.after, key)
		return waiting
	}
}
