package streaming

import (
	"context"
	"errors"
	"time"

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
)

// Left is told of servers that have begun to leave or are gone. Generations on
// them that have no usable copy elsewhere are moved.
func (r *Relay) Left(ids []string) {
	leaving := make(map[string]bool, len(ids))
	for _, id := range ids {
		leaving[id] = true
	}
	for _, x := range r.all() {
		x.consider(leaving)
	}
}

// consider starts a move if the generation's engine leaves and no copy of it is usable.
func (x *run) consider(leaving map[string]bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.engine == nil || x.move != nil || !x.job.Service.Engine.Moves {
		return
	}
	affected := leaving[x.engine.ID] || x.backup != nil && leaving[x.backup.ID]
	if !affected || x.relay.Directory.Takes(x.engine.ID) {
		return
	}
	if x.backup != nil && x.usable(x.backup) {
		return
	}
	made := x.split.Events() * x.job.Service.Engine.TokensPerEvent
	if x.expected-made < nearlyDone && made < x.expected {
		return
	}
	m := &move{done: make(chan struct{})}
	x.move = m
	go x.evacuate(m, x.engine)
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
