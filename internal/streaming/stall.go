package streaming

import (
	"context"
	"time"

	"github.com/dalebend/dalebend/internal/periodic"
	"github.com/dalebend/dalebend/internal/registry"
)

const (
	// stallCheckInterval is the interval between checks of the open streams.
	stallCheckInterval = 25 * time.Millisecond
	// stallTimeout is how long a stream may lack an event before it is tried at the engine that
	// holds its copy. A healthy engine sends events every 30 to 60 ms, and slightly less often
	// during prefills; callers count a pause of 180 ms as late.
	stallTimeout = 140 * time.Millisecond
	// switchRetryDelay is the delay before a failed switch is retried.
	switchRetryDelay = 500 * time.Millisecond
)

// WatchForStalls switches stalled streams to the engine that holds their copy, until the context
// ends.
func (r *Relay) WatchForStalls(ctx context.Context) {
	periodic.Run(ctx, r.Clock, stallCheckInterval, func() {
		now := r.Clock.Now()
		for _, x := range r.openRuns() {
			x.checkStall(now)
		}
	})
}

// checkStall starts a switch if the stream has stalled.
func (x *run) checkStall(now time.Time) {
	// A stream that is paused for its caller is not stalled.
	if x.paused.Load() || x.silentFor(now) < stallTimeout {
		return
	}
	// The lock holder is changing this state; the next check follows shortly.
	if !x.mu.TryLock() {
		return
	}
	defer x.mu.Unlock()
	if x.answer == nil || x.switchover != nil || x.move != nil || now.Before(x.nextSwitch) {
		return
	}
	hasCopy := x.backup != nil && x.usable(x.backup)
	if !hasCopy && !x.unreached() {
		return
	}
	x.nextSwitch = now.Add(switchRetryDelay)
	x.startSwitch(x.silentFor(now), hasCopy)
}

// usable reports whether an engine may take over the stream.
func (x *run) usable(s *registry.Server) bool {
	return x.relay.Directory.CanContinue(s.ID) && !x.relay.Evidence.Assess(s.ID).Ejected
}
