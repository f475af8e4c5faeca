package streaming

import (
	"context"
	"errors"
	"time"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/clockctx"
	"github.com/dalebend/dalebend/internal/drainplan"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/registry"
)

const (
	// settledCopyTime is the longest time of an incremental copy, some megabytes, over an idle
	// link. A copy that takes longer had to wait for others on the link.
	settledCopyTime = 60 * time.Millisecond
	// maxPreCopies bounds the incremental copies before the generation is stopped.
	maxPreCopies = 4
)

// preCopy is the result of copying a generation's memory while it runs.
type preCopy struct {
	// target is the last engine that was tried.
	target *registry.Server
	// copyName is the name of the copy there, empty if there is none.
	copyName string
	// requested is set when the source was asked to copy.
	requested bool
	err       error
}

// maybeUnnamed reports whether the target may hold a copy of unknown name, because the call got no
// reply.
func (a *preCopy) maybeUnnamed() bool {
	return a.requested && a.copyName == "" && !errors.Is(a.err, backend.ErrNoCapacity) && !errors.Is(a.err, backend.ErrNotRunning)
}

// preCopyMemory copies the generation's memory to a migration target while the generation runs.
func (x *run) preCopyMemory(source *registry.Server) preCopy {
	// The call outlives the request, so that its copy gets a name and can be freed.
	ctx, cancel := clockctx.WithTimeout(context.WithoutCancel(x.ctx), x.relay.Clock, moveTimeout)
	defer cancel()
	held := x.memoryTokens()
	need := &picker.Requirements{
		PromptTokens: held, ExpectedTokens: max(0, x.job.Request.PromptTokens+x.expected-held),
		Homes: x.job.Regions, Avoid: []string{source.ID},
	}
	a := preCopy{target: source}
	if x.relay.RetryBudget.Remaining(x.job.Service.Name) == 0 {
		// Without a retry, a stopped generation could not resume elsewhere.
		a.err = errBudgetSpent
		return a
	}
	for {
		c := x.relay.Picker.PickMigrationTarget(x.job.Service, source, need)
		if c == nil {
			a.err = errNoEngine
			return a
		}
		if !drainplan.WorthMoving(x.cutOffProbability(source), c.OverrunProbability(need, x.job.Service.Engine)) {
			a.err = errMoveTooCostly
			return a
		}
		a.target = c.Server
		x.reserveTarget(a.target)
		a.requested = !x.ended()
		a.copyName, a.err = x.copyUntilSettled(ctx, source, a.target)
		if !errors.Is(a.err, backend.ErrNoCapacity) {
			return a
		}
		x.discard(source, &a)
		// discard has dealt with what this target may hold.
		a.requested, a.copyName = false, ""
		need.Avoid = append(need.Avoid, a.target.ID)
	}
}

// copyUntilSettled repeats the incremental copy while copies are delayed by others on the link,
// since the generation would pause for as long if it were stopped then. A copy name may be returned
// together with an error, if a later increment failed.
func (x *run) copyUntilSettled(ctx context.Context, source, target *registry.Server) (name string, err error) {
	for range maxPreCopies {
		if x.ended() {
			return name, x.ctx.Err()
		}
		began := x.relay.Clock.Now()
		made, err := x.relay.Mover.Copy(ctx, source, x.job.Request.ID, target.Addr, false)
		if err != nil {
			return name, err
		}
		name = made
		if x.relay.Clock.Since(began) <= settledCopyTime {
			break
		}
	}
	return name, x.ctx.Err()
}

// reserveTarget accounts for the generation at the target from now on, so that not every generation
// of a leaving engine picks the same one.
func (x *run) reserveTarget(target *registry.Server) {
	x.mu.Lock()
	if x.load != nil {
		x.load.Reserve(target.ID)
	}
	x.mu.Unlock()
	x.relay.loadChanged()
}

// releaseTarget undoes reserveTarget for a target without free memory.
func (x *run) releaseTarget() {
	x.mu.Lock()
	if x.load != nil {
		x.load.Move(x.engine.ID, idOf(x.backup))
	}
	x.mu.Unlock()
	x.relay.loadChanged()
}
