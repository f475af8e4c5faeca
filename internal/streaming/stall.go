package streaming

import (
	"context"
	"errors"
	"time"

	"github.com/dalebend/dalebend/internal/panics"
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
	c := &switchover{done: make(chan struct{})}
	x.switchover = c
	source := x.backupCopy
	if !hasCopy {
		engine := x.engine
		source = func() *copyRef { return x.stopUnreached(engine) }
	}
	go x.switchOver(c, x.answer, source)
}

// usable reports whether an engine may take over the stream.
func (x *run) usable(s *registry.Server) bool {
	return x.relay.Directory.CanContinue(s.ID) && !x.relay.Evidence.Assess(s.ID).Ejected
}

// switchOver resumes a stalled stream at the engine that holds its copy, which source returns. The old
// stream is given up only when that engine has accepted it.
func (x *run) switchOver(c *switchover, old *answer, source func() *copyRef) {
	defer close(c.done)
	var a *answer
	err := errPanicked
	x.catch(panics.Switch, func() { a, err = x.continueAt(x.ctx, source()) })
	if err != nil {
		x.switchFailed(c)
		return
	}
	x.logBroke(errSilent)
	c.answer = a
	old.giveUp()
}

// errPanicked stands until a switch has returned.
var errPanicked = errors.New("a defect of the box ended the switch")

// switchFailed allows the next switch. The failure is already logged.
func (x *run) switchFailed(c *switchover) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.switchover == c {
		x.switchover = nil
	}
}

// awaitSwitch waits for a pending switch and closes the stream that it opened, which nobody reads.
// The run's context must have ended.
func (x *run) awaitSwitch() {
	x.mu.Lock()
	c := x.switchover
	x.answer = nil
	x.mu.Unlock()
	if c == nil {
		return
	}
	<-c.done
	if c.answer != nil {
		c.answer.close()
	}
}
