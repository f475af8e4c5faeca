package streaming

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/panics"
	"github.com/dalebend/dalebend/internal/registry"
)

// handoverTimeout is how long a stalled engine goes on after the generation was sent to another one that
// has neither accepted nor refused it: half of the 400 ms for which users allow two engines to work on
// one generation. The rest is for the stop to reach the engine; see closeNotice.
const handoverTimeout = 200 * time.Millisecond

// switchover is a switch of a stalled stream to another engine.
//
// From the moment that the generation is sent there, that engine may be working on it. The present
// engine goes on only until the other one accepts, may have begun and failed, or handoverTimeout is
// over. It stays in use if the other engine refuses, if it sends an event before the generation was
// sent, or if it completes the stream first. What it sends meanwhile is passed on, and is skipped when
// the other engine sends it again.
type switchover struct {
	run *run
	// engine is the present engine and old its answer, which has been silent for so long.
	engine *registry.Server
	old    *answer
	silent time.Duration
	began  time.Time
	// stops is set if the present engine is stopped before the generation is sent.
	stops bool
	// cancel ends the attempt.
	cancel context.CancelFunc
	// done is closed when the switch has ended.
	done chan struct{}

	// The run's mu guards the fields below.

	// target is the engine that holds the copy, nil if there is none.
	target *registry.Server
	// sent is set when the other engine may have the generation.
	sent bool
	// withdrawn is set when the present engine needs no replacement any more.
	withdrawn bool
	// handedOver is set when the present engine was told to stop, late if handoverTimeout was over then.
	handedOver, late bool
	timer            clockwork.Timer
	// resumeAfter counts the events that the caller had when the generation was sent.
	resumeAfter int
	// answer is the stream at the new engine, nil if the switch failed.
	answer *answer
}

// startSwitch starts a switch of the present stream to its backup, or if there is none, to an engine that
// its memory is moved to. The lock must be held.
func (x *run) startSwitch(silent time.Duration, hasBackup bool) {
	ctx, cancel := context.WithCancel(x.ctx)
	x.switchover = &switchover{
		run: x, engine: x.engine, old: x.answer, silent: silent, began: x.relay.Clock.Now(), stops: !hasBackup, cancel: cancel,
		done: make(chan struct{}),
	}
	source := x.backupCopy
	if !hasBackup {
		engine := x.engine
		source = func() *copyRef { return x.stopUnreached(engine) }
	}
	go x.switchover.attempt(ctx, source)
}

// attempt resumes the stream at the engine that holds its copy, which source returns.
func (c *switchover) attempt(ctx context.Context, source func() *copyRef) {
	defer close(c.done)
	c.run.logSwitchBegins(c)
	var o offerResult
	if p := c.run.catch(panics.Switch, func() { o = c.run.continueAt(ctx, c.aim(source()), c) }); p != nil {
		o = offerResult{perhapsRun: true, err: p}
	}
	if o.err == nil {
		c.run.logBroke(errSilent)
	} else {
		// An accepted stream still needs the context.
		c.cancel()
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	if o.err == nil {
		c.answer = o.answer
		c.handOver()
	} else {
		c.failed(o)
	}
	c.run.logSwitchEnded(c, o)
}

// aim records the engine that holds the copy to resume from.
func (c *switchover) aim(at *copyRef) *copyRef {
	if at != nil {
		c.run.mu.Lock()
		defer c.run.mu.Unlock()
		c.target = at.server
	}
	return at
}

// beforeSend withholds the generation if the present engine needs no replacement any more, and limits for
// how long both engines may work on it.
func (c *switchover) beforeSend() error {
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	if c.withdrawn {
		return errWithdrawn
	}
	c.sent = true
	c.timer = c.run.relay.Clock.AfterFunc(handoverTimeout, c.timedOut)
	return nil
}

// timedOut stops the present engine, as the other one may be at work by now.
func (c *switchover) timedOut() {
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	if c.run.switchover == c && !c.handedOver {
		c.late = true
		c.handOver()
	}
}

// handOver stops the present engine: closing its connection is enough for most, and others are told. The run's
// lock must be held.
func (c *switchover) handOver() {
	c.handedOver = true
	c.old.giveUp(errSilent)
	if !c.stops {
		c.run.stopOld(c.engine, c.target)
	}
}

// withdraw ends the attempt as the present engine needs no replacement. The run's lock must be held.
func (c *switchover) withdraw() {
	c.withdrawn = true
	c.cancel()
}

// failed lets the present engine go on, unless the other one may still be at work. The run's lock must be
// held.
func (c *switchover) failed(o offerResult) {
	if c.run.switchover == c {
		c.run.switchover = nil
	}
	if c.sent && o.perhapsRun && !c.withdrawn {
		c.handOver()
	}
}

// outcome returns the result for the log and the metrics. The run's lock must be held.
func (c *switchover) outcome(o offerResult) string {
	switch {
	case c.withdrawn:
		return switchWithdrawn
	case o.err == nil && c.late:
		return switchedLate
	case o.err == nil:
		return switched
	case c.run.ctx.Err() != nil:
		return switchEnded
	case c.handedOver:
		return switchLost
	default:
		return switchRefused
	}
}

// Outcomes of switches.
const (
	switched = "switched"
	// switchedLate: the engine accepted after the present one had to stop.
	switchedLate = "switched-late"
	// switchRefused: the engine does not run the generation, and the present one goes on.
	switchRefused = "refused"
	// switchWithdrawn: the present engine needs no replacement any more.
	switchWithdrawn = "withdrawn"
	// switchLost: the engine may have run the generation but gave no answer, and the present one has stopped.
	switchLost = "lost"
	// switchEnded: the request ended.
	switchEnded = "request-ended"
)

// awaitSwitchover waits for a pending switch after the present answer has ended with the given error. It
// returns errSwitched if the stream is now at another engine. An answer that the present engine has
// completed is kept.
func (x *run) awaitSwitchover(ctx context.Context, ended error) error {
	x.mu.Lock()
	c := x.switchover
	if c == nil {
		x.mu.Unlock()
		return nil
	}
	completed := errors.Is(ended, io.EOF) && !c.old.Unframed() && !x.split.Partial()
	if completed && c.answer == nil {
		c.withdraw()
	}
	x.mu.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.switchover = nil
	switch {
	case c.answer == nil:
		return nil
	case c.withdrawn:
		// It was accepted at the same moment.
		c.answer.close()
		return nil
	default:
		x.adopt(c)
		return errSwitched
	}
}

// adopt continues with the stream that a switch has opened. The lock must be held.
func (x *run) adopt(c *switchover) {
	x.switchover = nil
	x.split.DropPartial()
	x.split.Skip(x.split.Events() - c.resumeAfter)
	x.answer = c.answer
}

// cancelSwitch waits for a pending switch and closes the stream that it opened, which nobody reads.
// The run's context must have ended.
func (x *run) cancelSwitch() {
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
