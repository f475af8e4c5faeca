package streaming

import (
	"context"
	"errors"
	"time"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/clockctx"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/panics"
	"github.com/dalebend/dalebend/internal/registry"
)

const (
	// closeNotice is how long an engine has to notice that its connection has closed before it is told to
	// stop. Most notice it within a round trip, and then need no call; an engine that only writes notices it
	// at its second write, which may be a second later if it is slow. With handoverTimeout it leaves
	// 160 ms for the call, of the 400 ms for which users allow two engines to work on one generation.
	closeNotice = 40 * time.Millisecond
	// stopTimeout bounds the call. A reply comes once the memory is copied; the engine has stopped before.
	stopTimeout = 500 * time.Millisecond
)

// pendingStop is a call that is to stop the generation at an engine that it has left.
type pendingStop struct {
	// cancel ends the wait before the call, done is closed when the call is over.
	cancel context.CancelFunc
	done   chan struct{}
}

// stopOld stops the generation at an engine whose connection this box has closed and that may still work on
// it, as it goes on at another one. The only call that stops it is a move, whose copy is freed at once. The
// run's lock must be held.
func (x *run) stopOld(old, successor *registry.Server) {
	if !x.job.Service.Engine.Moves || old == nil || successor == nil || old.ID == successor.ID {
		return
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.ctx))
	stop := &pendingStop{cancel: cancel, done: make(chan struct{})}
	if x.stops == nil {
		x.stops = make(map[string]*pendingStop)
	}
	x.stops[old.ID] = stop
	x.background(panics.Release, func() {
		defer close(stop.done)
		defer cancel()
		select {
		case <-x.relay.Clock.After(closeNotice):
			x.tellToStop(old, successor)
		case <-ctx.Done():
		}
	})
}

// tellToStop tells an engine to stop the generation, if it still works on it. One that is ejected,
// and has probably ended, is not called.
func (x *run) tellToStop(old, successor *registry.Server) {
	if x.replaced(old) || x.relay.Evidence.Assess(old.ID).Ejected {
		return
	}
	ctx, cancel := clockctx.WithTimeout(context.WithoutCancel(x.ctx), x.relay.Clock, stopTimeout)
	defer cancel()
	name, err := x.relay.Mover.Copy(ctx, old, x.job.Request.ID, successor.Addr, true)
	if errors.Is(err, backend.ErrNotRunning) {
		return
	}
	x.logToldToStop(old, name != "", err)
	switch {
	case name != "" && x.free(old, name) == nil, isUnsent(err):
	default:
		x.trackOrphanedCopy(successor)
	}
}

// isUnsent reports whether a call failed before anything of it was sent, so that it has made no copy.
func isUnsent(err error) bool {
	var failure *exchange.Failure
	return errors.As(err, &failure) && failure.Stage().Unsent()
}

// endStop ends a pending stop of the generation at an engine, as it would stop one that resumes there as well.
// A call that has begun is waited for.
func (x *run) endStop(ctx context.Context, engine *registry.Server) {
	x.mu.Lock()
	stop := x.stops[engine.ID]
	x.mu.Unlock()
	if stop == nil {
		return
	}
	stop.cancel()
	select {
	case <-stop.done:
	case <-ctx.Done():
	}
}
