package streaming

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/clockctx"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/drainplan"
	"github.com/dalebend/dalebend/internal/panics"
	"github.com/dalebend/dalebend/internal/registry"
)

const (
	// moveTimeout bounds the copies of a running generation, and then the copy of the rest once it is
	// stopped: the longest notice of an engine, after which there is no source to copy from.
	moveTimeout = 2500 * time.Millisecond
	// moveRetryDelay is the delay before the next attempt to move a generation that is still in
	// prefill: about a quarter of the prefill time.
	moveRetryDelay = 60 * time.Millisecond
)

// Evacuate moves the generations on servers that have begun to leave or are gone, unless a usable
// copy exists elsewhere.
func (r *Relay) Evacuate(ids []string) {
	leaving := make(map[string]bool, len(ids))
	for _, id := range ids {
		leaving[id] = true
		r.ShutdownNotice.RecordLeaving(id)
	}
	for _, e := range r.evacuations(leaving) {
		go func() {
			// A panic is already logged.
			_ = r.catch(panics.Move, func() { r.drainEngine(e.engine, e.runs) }, slog.String(event.KeyServer, e.engine.ID))
		}()
	}
}

// evacuation lists the generations to move off one engine.
type evacuation struct {
	engine *registry.Server
	runs   []*run
}

// evacuations returns the generations to move by engine id. The map is keyed by id because each
// registry view has its own entry for the same server.
func (r *Relay) evacuations(leaving map[string]bool) map[string]*evacuation {
	byEngine := make(map[string]*evacuation)
	for _, x := range r.openRuns() {
		engine := x.startMove(leaving)
		if engine == nil {
			continue
		}
		e := byEngine[engine.ID]
		if e == nil {
			e = &evacuation{engine: engine}
			byEngine[engine.ID] = e
		}
		e.runs = append(e.runs, x)
	}
	return byEngine
}

// startMove returns the generation's engine and marks the generation as being moved if the engine
// leaves and no copy is usable; otherwise it returns nil.
func (x *run) startMove(leaving map[string]bool) *registry.Server {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.engine == nil || x.move != nil || !x.job.Service.Engine.Moves {
		return nil
	}
	affected := leaving[x.engine.ID] || x.backup != nil && leaving[x.backup.ID]
	if !affected || x.relay.Directory.Takes(x.engine.ID) || x.replaced(x.engine) {
		return nil
	}
	if x.backup != nil && x.usable(x.backup) {
		return nil
	}
	x.move = &move{done: make(chan struct{})}
	return x.engine
}

// drainEngine moves this box's generations off an engine one at a time: copies share the engine's
// link, and a generation that has moved is safe whatever happens to the rest. The generations that
// are most likely to be cut off go first; those that will probably finish in time stay. The boxes
// take turns in the move order, which is the same on all of them.
func (r *Relay) drainEngine(engine *registry.Server, runs []*run) {
	r.sortByCutOff(engine, runs)
	r.awaitTurn(runs[0], engine)
	r.sortByCutOff(engine, runs)
	// passed counts consecutive generations that are not moved yet: those in prefill, which have no
	// memory to copy, and those that will probably finish in time.
	passed := 0
	for len(runs) > 0 {
		x := runs[0]
		runs = runs[1:]
		if x.replaced(engine) {
			x.abandonMove(engine)
			continue
		}
		if x.started() && drainplan.WorthMoving(x.cutOffProbability(engine), 0) && x.evacuate(x.pendingMove(), engine) {
			passed = 0
			continue
		}
		if x.ended() {
			x.endMove(x.pendingMove())
			continue
		}
		runs = append(runs, x)
		if passed++; passed >= len(runs) {
			passed = 0
			r.sortByCutOff(engine, runs)
			x.wait(x.ctx, moveRetryDelay)
		}
	}
}

// started reports whether the first event has arrived.
func (x *run) started() bool { return !x.lastEvent.Load().IsZero() }

// memoryTokens returns the size of the memory to copy, in tokens.
func (x *run) memoryTokens() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.job.Request.PromptTokens + x.split.Events()*x.job.Service.Engine.TokensPerEvent
}

func (x *run) pendingMove() *move {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.move
}

// evacuate copies the memory while the generation runs, then stops it and copies the rest, which
// keeps the pause short. It returns false if the engine has no memory of the generation yet, or if
// a move would now preempt more than it saves.
func (x *run) evacuate(m *move, source *registry.Server) bool {
	a := x.preCopyMemory(source)
	if errors.Is(a.err, errMoveTooCostly) {
		x.releaseTarget()
		return false
	}
	if errors.Is(a.err, backend.ErrNotRunning) && !x.ended() {
		return false
	}
	if a.err == nil && !x.replaced(a.target) && !x.relay.Directory.CanContinue(a.target.ID) {
		// The target has begun to leave during the copies, and would refuse the generation.
		x.discard(source, &a)
		x.releaseTarget()
		return false
	}
	defer x.endMove(m)
	if a.err != nil {
		x.discard(source, &a)
		x.failMove(m, source, a.target, a.err)
		return true
	}
	// The retry is taken before the generation is stopped: a stopped generation has to resume
	// elsewhere, and other requests take retries meanwhile.
	if !x.relay.RetryBudget.TakeRetry(x.job.Service.Name) {
		x.discard(source, &a)
		x.failMove(m, source, a.target, errBudgetSpent)
		return true
	}
	x.stopAndCopy(m, source, a)
	return true
}

// endMove ends a move, successful or not, so that other boxes no longer wait for it.
func (x *run) endMove(m *move) {
	// This comes first: the generation may be accounted to another engine once done is closed.
	x.mu.Lock()
	if x.load != nil {
		x.load.EndMove()
	}
	x.mu.Unlock()
	close(m.done)
	x.relay.loadChanged()
}

// ended reports whether the request has ended.
func (x *run) ended() bool { return x.ctx.Err() != nil }

// replaced reports whether a newer instance of the engine is known, which holds nothing of the
// generation.
func (x *run) replaced(engine *registry.Server) bool {
	return x.relay.Directory.NewerInstance(engine) != nil
}

// abandonMove ends a move before its first copy because its engine has restarted.
func (x *run) abandonMove(engine *registry.Server) {
	m := x.pendingMove()
	defer x.endMove(m)
	x.failMove(m, engine, engine, errReplaced)
}

// stopAndCopy stops the generation, for which a retry was taken, and copies the rest. That has time of its
// own: once stopped, the generation has nothing else to go on from.
func (x *run) stopAndCopy(m *move, source *registry.Server, a preCopy) {
	ctx, cancel := clockctx.WithTimeout(x.ctx, x.relay.Clock, moveTimeout)
	defer cancel()
	target := a.target
	if x.replaced(target) {
		// The newer instance does not hold the copy.
		x.failMove(m, source, target, errReplaced)
		return
	}
	x.mu.Lock()
	m.stopping = true
	x.mu.Unlock()
	name, err := x.relay.Mover.Copy(ctx, source, x.job.Request.ID, target.Addr, true)
	if name == "" {
		// In the background, so that the stream can resume without delay. No other copy of it is
		// made.
		x.background(panics.Release, func() { x.discard(source, &a) })
		m.tooLate = errors.Is(err, backend.ErrNotRunning)
		x.failMove(m, source, target, err)
		return
	}
	if err != nil {
		// The engine stopped the generation but could not copy the rest. It keeps the memory, so
		// the generation can resume there.
		x.logMoveFailed(source, target, err)
		if x.relay.Directory.Cordoned(source.Domain) {
			// No more requests may be sent there, so the generation is lost.
			return
		}
		target = source
	}
	x.mu.Lock()
	// The target passed admission when it was picked.
	m.at = &copyRef{server: target, holder: source.Addr, name: name, retryTaken: true, counted: target != source}
	if target != source && !x.relay.Directory.Cordoned(source.Domain) {
		m.at.source = source
	}
	x.mu.Unlock()
}

func (x *run) wait(ctx context.Context, d time.Duration) {
	select {
	case <-x.relay.Clock.After(d):
	case <-ctx.Done():
	}
}

// failMove records a failed move. The generation runs on unless it was being stopped.
func (x *run) failMove(m *move, source, target *registry.Server, err error) {
	x.logMoveFailed(source, target, err)
	x.mu.Lock()
	defer x.mu.Unlock()
	if m.stopping || x.move != m {
		return
	}
	x.move = nil
	if x.load != nil {
		x.load.Move(x.engine.ID, idOf(x.backup))
	}
}
