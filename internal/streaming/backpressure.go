package streaming

import (
	"context"
)

// defaultEventBytes is the assumed size of an event before the first one: a few tokens with the
// surrounding fields.
const defaultEventBytes = 128

// awaitCaller waits, if the caller is behind, until more may be buffered for it. No lock is held
// meanwhile, so that it blocks neither moves of the generation nor stall checks.
func (x *run) awaitCaller(ctx context.Context) error {
	if !x.sink.Behind() {
		return nil
	}
	x.paused.Store(true)
	err := x.sink.Await(ctx, x.unreadBytes())
	// The stream was not read meanwhile, so the pause is no stall of the engine.
	x.lastEvent.Store(x.relay.Clock.Now())
	x.paused.Store(false)
	return err
}

// unreadBytes estimates how many bytes of the answer the engine holds while it is not read.
func (x *run) unreadBytes() int {
	x.mu.Lock()
	events := x.split.Events()
	x.mu.Unlock()
	each := defaultEventBytes
	if events > 0 {
		each = x.passedBytes / events
	}
	left := x.expected/max(1, x.job.Service.Engine.TokensPerEvent) - events
	return each * max(1, left)
}
