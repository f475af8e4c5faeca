package streaming

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/choose"
	"github.com/dalebend/dalebend/internal/hop"
	"github.com/dalebend/dalebend/internal/registry"
)

const (
	// moveTime bounds one copy of a generation's memory: the longest notice that
	// an engine gives, beyond which there is nothing to copy from.
	moveTime = 2500 * time.Millisecond
	// nearlyDone is the number of tokens still expected below which a generation
	// is left to end on its leaving engine: at some 9 ms a token it ends within
	// the shortest notice.
	nearlyDone = 100
	// notYet is the pause before a generation whose prompt is still being read is
	// tried again: about a quarter of the reading.
	notYet = 60 * time.Millisecond
	// moveEach is the time that one generation's memory takes to another engine:
	// about 1.15 GB at 47 Gbit/s within a failure domain.
	moveEach = 200 * time.Millisecond
	// longestTurn bounds the wait for other boxes' turns, so that what they told
	// wrongly does not use up the notice.
	longestTurn = 900 * time.Millisecond
)

// Left is told of servers that have begun to leave or are gone. Generations on
// them that have no usable copy elsewhere are moved.
func (r *Relay) Left(ids []string) {
	leaving := make(map[string]bool, len(ids))
	for _, id := range ids {
		leaving[id] = true
	}
	stranded := make(map[*registry.Server][]*run)
	for _, x := range r.all() {
		if engine := x.stranded(leaving); engine != nil {
			stranded[engine] = append(stranded[engine], x)
		}
	}
	for engine, runs := range stranded {
		go r.empty(engine, runs)
	}
}

// stranded returns the generation's engine if that leaves and no copy of the
// generation is usable, and marks the generation as being moved; else nil.
func (x *run) stranded(leaving map[string]bool) *registry.Server {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.engine == nil || x.move != nil || !x.job.Service.Engine.Moves {
		return nil
	}
	affected := leaving[x.engine.ID] || x.backup != nil && leaving[x.backup.ID]
	if !affected || x.relay.Directory.Takes(x.engine.ID) {
		return nil
	}
	if x.backup != nil && x.usable(x.backup) {
		return nil
	}
	made := x.split.Events() * x.job.Service.Engine.TokensPerEvent
	if x.expected-made < nearlyDone && made < x.expected {
		return nil
	}
	x.move = &move{done: make(chan struct{})}
	return x.engine
}

// empty moves this box's generations off an engine, one after the other: copies
// wait for each other on the engine's link, and a generation that is copied
// and moved before the next one is safe whatever happens to the rest. The boxes
// take turns in an order that all of them know.
func (r *Relay) empty(engine *registry.Server, runs []*run) {
	sort.Slice(runs, func(i, j int) bool { return runs[i].worth() > runs[j].worth() })
	turn := r.turn(engine)
	for i, x := range runs {
		if i == 0 && turn > 0 {
			x.wait(x.ctx, turn)
		}
		x.evacuate(x.pending(), engine)
	}
}

// turn returns how long the boxes that come before this one need to move their
// own generations off an engine.
func (r *Relay) turn(engine *registry.Server) time.Duration {
	before := 0
	mine := turnOrder(r.Box, engine.ID)
	for box, bare := range r.Ledger.Bare(engine.ID) {
		if turnOrder(box, engine.ID) < mine {
			before += bare
		}
	}
	return min(time.Duration(before)*moveEach, longestTurn)
}

func turnOrder(box, engine string) uint64 { return xxhash.Sum64String(engine + "/" + box) }

// worth ranks generations by what would be lost with them: a long one that is
// far from its end first.
func (x *run) worth() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.split.Events()
}

func (x *run) pending() *move {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.move
}

// evacuate copies the memory while the generation runs, then stops it and
// copies the rest, so that the pause is short.
func (x *run) evacuate(m *move, source *registry.Server) {
	defer close(m.done)
	ctx, cancel := clockwork.WithTimeout(x.ctx, x.relay.Clock, moveTime)
	defer cancel()
	target, err := x.copyAhead(ctx, source)
	if err != nil {
		x.moveOver(m, source, target, err)
		return
	}
	x.mu.Lock()
	m.stopping = true
	x.mu.Unlock()
	name, err := x.relay.Mover.Copy(ctx, source, x.job.Request.ID, target.Addr, true)
	if name == "" {
		x.moveOver(m, source, target, err)
		return
	}
	if err != nil {
		// The engine stopped the generation but could not copy the rest: it keeps
		// the memory, and the generation can go on there.
		x.logMoveFailed(source, target, err)
		target = source
	}
	x.mu.Lock()
	m.at = &copyAt{server: target, holder: source.Addr, name: name}
	x.mu.Unlock()
}

// copyAhead copies what there is of the memory to an engine that stays, while
// the generation runs. It returns the engine that was tried last.
func (x *run) copyAhead(ctx context.Context, source *registry.Server) (*registry.Server, error) {
	need := &choose.Need{Prompt: x.job.Request.PromptTokens, Expected: x.expected, Avoid: []string{source.ID}}
	target := source
	for {
		c := x.relay.Chooser.Refuge(x.job.Service, source, need)
		if c == nil {
			return target, errNoEngine
		}
		target = c.Server
		x.reserve(source, target)
		_, err := x.relay.Mover.Copy(ctx, source, x.job.Request.ID, target.Addr, false)
		switch {
		case err == nil:
			return target, nil
		case errors.Is(err, hop.ErrNoRoom):
			need.Avoid = append(need.Avoid, target.ID)
		case errors.Is(err, hop.ErrNotRunning) && x.progress.Load() == 0:
			// Its prompt is still being read.
			x.wait(ctx, notYet)
		default:
			return target, err
		}
		if ctx.Err() != nil {
			return target, ctx.Err()
		}
	}
}

// reserve counts the copy at the target from now on, so that not every
// generation of a leaving engine goes to the same one.
func (x *run) reserve(source, target *registry.Server) {
	x.mu.Lock()
	if x.load != nil {
		x.load.Move(source.ID, target.ID)
	}
	x.mu.Unlock()
	x.relay.loadChanged()
}

func (x *run) wait(ctx context.Context, d time.Duration) {
	select {
	case <-x.relay.Clock.After(d):
	case <-ctx.Done():
	}
}

// moveOver notes a move that failed. The generation runs on, unless it was
// being stopped.
func (x *run) moveOver(m *move, source, target *registry.Server, err error) {
	x.logMoveFailed(source, target, err)
	x.mu.Lock()
	defer x.mu.Unlock()
	if !m.stopping && x.move == m {
		x.move = nil
	}
}
