package picker

import (
	"time"

	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
)

// Weights of an engine's rank, as the time that they cost a new generation.
const (
	// streamCostMs is the cost of each generation that runs on the engine: some 0.12 ms more for
	// each of a few hundred decode steps, and the risk that both have to move when the engine
	// leaves.
	streamCostMs = 60.0
	// fullCostMs is the cost of an engine whose memory is expected to be full: generations would be
	// preempted and their prompts prefilled again.
	fullCostMs = 20000.0
	// costFreeFill is the expected fill up to which memory costs nothing, so that pending prefill
	// decides. At 0.75 the emptiest engine got every prompt, and first events came seconds late.
	costFreeFill = 0.9
	// otherDomainCostMs is the cost of traffic to another failure domain.
	otherDomainCostMs = 25.0
	// healthPenaltyMs converts healthPenalty into time.
	healthPenaltyMs = 300.0
	// peerFailureCostMs is the cost of an engine that another box has just failed to reach, as much
	// as some twenty running generations. An unreachable engine looks idle, and each box in turn
	// would try it first for as long as the store has not removed it. The cost falls to zero within
	// peerFailureDecay, after which some box tries again.
	peerFailureCostMs = 1500.0
	peerFailureDecay  = 3 * time.Second
)

// Requirements describes a generation to place.
type Requirements struct {
	// PromptTokens and ExpectedTokens are the numbers of prompt tokens and of tokens to generate.
	PromptTokens   int
	ExpectedTokens int
	// Priority 0 is the most urgent.
	Priority int
	// Avoid names engines that must not be picked.
	Avoid []string
	// Homes are the regions whose engines may be picked.
	Homes routetable.AllowedRegions
	// MaxPause is the longest pause between events that the caller accepts; 0 is no bound.
	MaxPause time.Duration
	// TTFTObjective is the time to first token that the caller expects; 0 is none.
	TTFTObjective time.Duration
	// MaxWait is the longest acceptable wait for the first event; 0 is no bound.
	MaxWait time.Duration
}

// constraints returns the constraints on the choice of an engine.
func (n *Requirements) constraints() constraints { return constraints{avoid: n.Avoid, homes: n.Homes} }

// PickEngine returns the engine for a generation, or nil when none accepts it. If the best engine
// of the sample exceeds need.MaxWait, all engines are ranked, so that no request is refused while
// some engine has capacity.
func (c *Picker) PickEngine(service *routetable.Service, need *Requirements) *Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	rankOf := func(m *registry.Member, load engineload.Load) float64 {
		if !c.accepts(m, need.Priority) {
			return noCandidate
		}
		return c.engineRank(m, load, need, service.Engine) + c.prefillCost(m, load, need, service.Engine)
	}
	members := c.Directory.Service(service.Name)
	loads := c.EngineLoad.View()
	best := c.withWait(c.lowestRanked(members, c.sampleRatio(len(members)), loads, need.constraints(), rankOf), need, service.Engine)
	if best != nil && need.MaxWait > 0 && best.Wait.FirstEvent > need.MaxWait {
		best = c.withWait(c.lowestRanked(members, 1, loads, need.constraints(), rankOf), need, service.Engine)
	}
	return c.recordSent(best, need.Priority)
}

// lowestEngine returns the engine of the lowest rank, or nil when there is none. The lock must be
// held.
func (c *Picker) lowestEngine(service *routetable.Service, limits constraints,
	rankOf func(*registry.Member, engineload.Load) float64,
) *Candidate {
	members := c.Directory.Service(service.Name)
	return c.lowestRanked(members, c.sampleRatio(len(members)), c.EngineLoad.View(), limits, rankOf)
}

const (
	// minConsidered is the minimum mean sample size. With five, the sample is hardly ever empty, in
	// which case all engines are ranked.
	minConsidered = 5
	// maxConsidered is the maximum mean sample size. It bounds the cost of a choice whatever the
	// number of engines; the best of 256 is among the best hundredth of all.
	maxConsidered = 256
)

// sampleRatio returns the probability with which each engine is considered. Boxes that choose at
// the same moment without knowing of each other's choice would all take the emptiest engine, so
// each ranks a random sample such that on average one box considers a given engine. It is close to
// 1 for a few boxes that exchange their loads within milliseconds.
func (c *Picker) sampleRatio(engines int) float64 {
	minRatio, maxRatio := ratioOf(minConsidered, engines), ratioOf(maxConsidered, engines)
	if c.UnseenPlacements == nil {
		return maxRatio
	}
	return min(max(1/(1+c.UnseenPlacements()), minRatio), maxRatio)
}

// ratioOf returns some/engines, at most 1.
func ratioOf(some, engines int) float64 { return float64(some) / float64(max(some, engines)) }

// engineRank returns the time, in milliseconds, that a generation is expected to lose on an engine,
// without the prefill of prompts before its own.
func (c *Picker) engineRank(m *registry.Member, load engineload.Load, need *Requirements, e *routetable.Engine) float64 {
	rank := float64(load.Streams) * streamCostMs
	rank += excessFill(load, need, e) * fullCostMs
	if load.Streams >= e.Slots {
		rank += fullCostMs
	}
	if m.Domain != c.Domain {
		rank += otherDomainCostMs
	}
	return rank + healthPenaltyMs*c.healthPenalty(m) + peerFailureCostMs*c.recentPeerFailure(m)
}

// recentPeerFailure returns 1 if another box has just failed to reach the engine, falling to 0 over
// peerFailureDecay.
func (c *Picker) recentPeerFailure(m *registry.Member) float64 {
	since := c.Evidence.Assess(m.ID).SincePeerFailure
	if since < 0 || since > peerFailureDecay {
		return 0
	}
	return 1 - float64(since)/float64(peerFailureDecay)
}

// excessFill returns the expected fill beyond costFreeFill.
func excessFill(load engineload.Load, need *Requirements, e *routetable.Engine) float64 {
	return max(0, expectedFill(load, need, e)-costFreeFill)
}

// expectedFill returns the expected peak memory with the generation, as a ratio of the engine's
// memory.
func expectedFill(load engineload.Load, need *Requirements, e *routetable.Engine) float64 {
	peak := load.ExpectedPeak() + need.PromptTokens + need.ExpectedTokens
	return float64(peak) / float64(max(1, e.MemoryTokens))
}
