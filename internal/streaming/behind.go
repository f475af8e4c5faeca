package streaming

import (
	"context"
)

// eventBytes is the size that an event is taken for before any was seen, in bytes: a few tokens
// with the fields around them.
const eventBytes = 128

// awaitCaller waits until a caller that is behind may be kept more. No lock is held meanwhile, so
// that moves of the generation and looks at all generations don't wait for it.
func (x *run) awaitCaller(ctx context.Context) error {
	if !x.sink.Behind() {
		return nil
	}
	x.paused.Store(true)
	err := x.sink.Await(ctx, x.unread())
	// What comes next was not read for a while, which is no silence of the engine.
	x.progress.Store(x.relay.Clock.Now())
	x.paused.Store(false)
	return err
}

// unread returns what the engine is expected to hold of the answer if it isn't read on, in bytes.
func (x *run) unread() int {
	x.mu.Lock()
	events := x.split.Events()
	x.mu.Unlock()
	each := eventBytes
	if events > 0 {
		each = x.passedBytes / events
	}
	left := x.expected/max(1, x.job.Service.Engine.TokensPerEvent) - events
	return each * max(1, left)
}
