package picker

import (
	"time"

	"github.com/dalebend/dalebend/internal/admission"
	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/routetable"
)

const (
	// freedTokensPerMs is the net memory that ending generations free on a full engine in a
	// millisecond, less the growth of the others: five that hold 20,000 tokens and run for some 8 s
	// free 2.5 and grow by 0.4.
	freedTokensPerMs = 1.5
	// soonGrownRatio is the part of the expected growth that has taken place when a prompt has been
	// prefilled. Without it prompts go to engines that run out of memory while they wait.
	soonGrownRatio = 0.25
)

// withWait sets the expected wait and pauses of a candidate, which may be nil.
func (c *Picker) withWait(to *Candidate, need *Requirements, e *routetable.Engine) *Candidate {
	if to == nil {
		return nil
	}
	model := c.latencyModel(to.ID, to.Load, e)
	g := need.generation()
	to.ExpectedPauses = model.PauseProbability(&g) + model.ExpectedOtherPauses(&g)
	to.Wait = admission.Estimate{
		FirstEvent: c.expectedTTFT(to.ID, to.Load, need, e),
		Queued:     missingTokens(to.Load, need, e) > 0 || to.Load.PendingPrefill > 0 || to.Load.Streams >= e.Slots,
	}
	return to
}

// expectedTTFT returns the expected time to the generation's first event on an engine.
func (c *Picker) expectedTTFT(engine string, load engineload.Load, need *Requirements, e *routetable.Engine) time.Duration {
	ms := float64(load.PendingPrefill+need.PromptTokens) * c.prefillMsPerToken(engine)
	if shortage := missingTokens(load, need, e); shortage > 0 {
		ms += float64(shortage) / freedTokensPerMs
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// missingTokens returns by how many tokens an engine is short of memory for a prompt; negative
// means free memory.
func missingTokens(load engineload.Load, need *Requirements, e *routetable.Engine) int {
	soonGrown := int(soonGrownRatio * float64(load.ExpectedGrowth))
	return load.HeldTokens + load.CopyTokens + soonGrown + need.PromptTokens - e.MemoryTokens
}
