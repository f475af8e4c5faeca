package streaming

import (
	"context"
)

// change is a switch of a running stream to another engine.
type change struct {
	// done is closed when the switch succeeded or failed.
	done chan struct{}
	// answer is the stream at the new engine, nil if the switch failed.
	answer *answer
}

// lockUnswitched takes the lock at a moment without a switch under way.
func (x *run) lockUnswitched(ctx context.Context) error {
	for {
		if x.switched(ctx) {
			return errSwitched
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		x.mu.Lock()
		if x.change == nil {
			return nil
		}
		x.mu.Unlock()
	}
}

// switched waits for a switch under way and reports whether the stream is now
// at another engine.
func (x *run) switched(ctx context.Context) bool {
	x.mu.Lock()
	c := x.change
	x.mu.Unlock()
	if c == nil {
		return false
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.change == c {
		x.change = nil
		if c.answer != nil {
			x.split.Drop()
			x.answer = c.answer
		}
	}
	return c.answer != nil
}
