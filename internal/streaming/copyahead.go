package streaming

import (
	"context"
	"errors"
	"time"

	"github.com/dalebend/dalebend/internal/choose"
	"github.com/dalebend/dalebend/internal/hop"
	"github.com/dalebend/dalebend/internal/registry"
)

const (
	// settled is the time of a copy of what was made since the last one, some
	// megabytes, on links that are free. A longer one waited for others.
	settled = 60 * time.Millisecond
	// copiesAhead bounds the copies of one generation before it is stopped.
	copiesAhead = 4
)

// copyAhead copies what there is of the memory to an engine that stays, while
// the generation runs. It returns the engine that was tried last.
func (x *run) copyAhead(ctx context.Context, source *registry.Server) (*registry.Server, error) {
	need := &choose.Need{Prompt: x.job.Request.PromptTokens, Expected: x.expected, Homes: x.job.Homes, Avoid: []string{source.ID}}
	target := source
	if x.relay.Budget.Left(x.job.Service.Name) == 0 {
		// Once stopped, it could not go on elsewhere.
		return target, errBudgetSpent
	}
	for {
		c := x.relay.Chooser.Refuge(x.job.Service, source, need)
		if c == nil {
			return target, errNoEngine
		}
		target = c.Server
		x.reserve(target)
		err := x.copyUntilSettled(ctx, source, target)
		if !errors.Is(err, hop.ErrNoRoom) {
			return target, err
		}
		need.Avoid = append(need.Avoid, target.ID)
	}
}

// copyUntilSettled copies again while copies have to wait for others on a link: the
// generation would pause for as long if it were stopped then.
func (x *run) copyUntilSettled(ctx context.Context, source, target *registry.Server) error {
	for range copiesAhead {
		began := x.relay.Clock.Now()
		_, err := x.relay.Mover.Copy(ctx, source, x.job.Request.ID, target.Addr, false)
		if err != nil {
			return err
		}
		if x.relay.Clock.Since(began) <= settled {
			return nil
		}
	}
	return nil
}

// reserve counts the copy at the target from now on, so that not every
// generation of a leaving engine goes to the same one.
func (x *run) reserve(target *registry.Server) {
	x.mu.Lock()
	if x.load != nil {
		x.load.Reserve(target.ID)
	}
	x.mu.Unlock()
	x.relay.loadChanged()
}
