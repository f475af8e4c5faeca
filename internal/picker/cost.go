package picker

import (
	"time"

	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/latencymodel"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
)

const (
	// lateCostMs is the cost of one late generation (late first event or too long a pause) in
	// milliseconds of prefill: about two latency objectives, as its caller gets little of what it
	// asked for. With much more, prompts pile up on fast engines until these run out of memory.
	lateCostMs = 4000.0
	// lateFromRatio is the expected time to first token, as a ratio of the objective, from which
	// the first event may be late. At a ratio of 1 it counts as late for certain.
	lateFromRatio = 0.75
)

// lateProbability returns the probability that the first event comes after the objective.
func (c *Picker) lateProbability(engine string, load engineload.Load, need *Requirements, e *routetable.Engine) float64 {
	if need.TTFTObjective <= 0 {
		return 0
	}
	ratio := float64(c.expectedTTFT(engine, load, need, e)) / float64(need.TTFTObjective)
	return min(max(0, (ratio-lateFromRatio)/(1-lateFromRatio)), 1)
}

// prefillCost returns the expected cost of prefill on an engine, in milliseconds: the time until
// the generation's own prompt is done, and lateCostMs for each generation that it makes late, this
// one or one that runs there.
func (c *Picker) prefillCost(m *registry.Member, load engineload.Load, need *Requirements, e *routetable.Engine) float64 {
	model := c.latencyModel(m.ID, load, e)
	g := need.generation()
	ms := float64(model.PrefillTime(&g)) / float64(time.Millisecond)
	return ms + lateCostMs*(c.lateProbability(m.ID, load, need, e)+model.PauseProbability(&g)+model.ExpectedOtherPauses(&g))
}

// generation returns the requirements as package latencymodel takes them.
func (n *Requirements) generation() latencymodel.Generation {
	return latencymodel.Generation{PromptTokens: n.PromptTokens, ExpectedTokens: n.ExpectedTokens, MaxPause: n.MaxPause}
}
