package streaming

import (
	"github.com/dalebend/dalebend/internal/clockctx"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/registry"
)

// unreached reports whether the stream may have stalled because this box has lost its own path to the
// engine. The lock must be held.
func (x *run) unreached() bool {
	r := x.relay
	return r.PathDown != nil && x.answer.Peer == "" && x.job.Service.Engine.Moves && r.PathDown(x.engine.ID)
}

// stopUnreached stops the generation at an engine whose events don't arrive and moves its memory to another
// one, from where the stream can resume. It returns nil if that fails. The calls reach the engine through a peer.
func (x *run) stopUnreached(source *registry.Server) *copyRef {
	held := x.memoryTokens()
	need := &picker.Requirements{
		PromptTokens: held, ExpectedTokens: max(0, x.job.Request.PromptTokens+x.expected-held),
		Homes: x.job.Regions, Avoid: []string{source.ID},
	}
	c := x.relay.Picker.PickMigrationTarget(x.job.Service, source, need)
	// The retry is taken first: without one, a stopped generation could not resume.
	if c == nil || !x.relay.RetryBudget.TakeRetry(x.job.Service.Name) {
		return nil
	}
	ctx, cancel := clockctx.WithTimeout(x.ctx, x.relay.Clock, moveTimeout)
	defer cancel()
	name, err := x.relay.Mover.Copy(ctx, source, x.job.Request.ID, c.Addr, true)
	if err != nil {
		x.logMoveFailed(source, c.Server, err)
	}
	switch {
	case name == "":
		return nil
	case err != nil:
		// The engine has stopped the generation and keeps its memory.
		return &copyRef{server: source, holder: source.Addr, name: name, retryTaken: true}
	default:
		return &copyRef{server: c.Server, holder: source.Addr, name: name, retryTaken: true, counted: true}
	}
}
