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
	// lateCheck is the gap between two checks above which the process is assumed not to have run in
	// between. A check within earlyCheck of the last one is skipped: there was no time to read.
	lateCheck  = 2 * stallCheckInterval
	earlyCheck = stallCheckInterval / 2
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
	checked := r.Clock.Now()
	periodic.Run(ctx, r.Clock, stallCheckInterval, func() {
		if r.OnCheck != nil {
			r.OnCheck()
		}
		now := r.Clock.Now()
		if now.Sub(checked) < earlyCheck {
			return
		}
		r.checkStalls(now, checked)
		checked = now
	})
}

// checkStalls checks the open streams. Timers run before input from the network: at a late check, events
// that came since the one before are not read yet, and silence is known until then only.
func (r *Relay) checkStalls(now, previous time.Time) {
	readUntil := now
	if late := now.Sub(previous); late > lateCheck {
		r.heldUp.Add(int64(late - stallCheckInterval))
		readUntil = previous
	}
	for _, x := range r.openRuns() {
		x.checkStall(now, readUntil)
	}
}

// HeldUp returns the time for which the box was held up since the start.
func (r *Relay) HeldUp() time.Duration { return time.Duration(r.heldUp.Load()) }

// checkStall starts a switch if the stream has stalled. What came until a time has been read.
func (x *run) checkStall(now, readUntil time.Time) {
	// A stream that is paused for its caller is not stalled.
	if x.paused.Load() || x.silentFor(readUntil) < stallTimeout {
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
	x.startSwitch(x.silentFor(readUntil), hasCopy)
}

// usable reports whether an engine may take over the stream.
func (x *run) usable(s *registry.Server) bool {
	return x.relay.Directory.CanContinue(s.ID) && !x.relay.Evidence.Assess(s.ID).Ejected
}
