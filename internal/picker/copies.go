package picker

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/overrun"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
)

const (
	// maxBackupFill is the expected fill up to which an engine accepts backup copies, so that only
	// nearly empty engines do. A copy takes the memory of a whole generation for as long as that
	// runs; without the bound the copies fill a fleet with spare memory, and generations are
	// preempted.
	maxBackupFill = 0.25
	// copyPenalty is the fill that offsets one copy in transit to the engine, as copies queue on
	// its link, or a copy from another failure domain, which takes twice as long. Without it the
	// emptiest engine gets every copy, and moves to it wait for most of the notice period that
	// engines give.
	copyPenalty = 0.35
	// overrunWeight weighs the probability that a migration target runs out of memory: certain
	// overrun is as bad as an empty engine in another failure domain with two copies in transit.
	// With a larger weight, moves take the slower path to other failure domains, and more streams
	// are cut off.
	overrunWeight = 1.0
	// acceptableOverrun is the overrun probability up to which the first sampled target is taken;
	// maxRedraws bounds how often others are sampled otherwise. Ranking all engines would send
	// boxes that move generations at the same moment to the same one.
	acceptableOverrun = 0.25
	maxRedraws        = 4
)

// DrainTime returns how long it takes to move the generations without a backup copy off an engine,
// one after the other, including the one in need.
func (c *Picker) DrainTime(service *routetable.Service, engine string, need *Requirements) time.Duration {
	load := c.EngineLoad.View().Load(engine)
	pendingPrompts := load.PendingPrefill / max(1, need.PromptTokens)
	held := (load.HeldTokens + need.PromptTokens) / (load.Streams + 1)
	return time.Duration(load.Unreplicated+pendingPrompts+1) * service.Engine.MoveTime(held)
}

// PickBackup returns the engine for a copy of a generation that runs on engine, or nil when none
// has spare memory.
func (c *Picker) PickBackup(service *routetable.Service, engine *registry.Server, need *Requirements) *Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowestEngine(service, need.constraints(), func(m *registry.Member, load engineload.Load) float64 {
		filled := expectedFill(load, need, service.Engine)
		penalty := c.healthPenalty(m)
		if m.ID == engine.ID || filled > maxBackupFill || penalty >= ejectedRank || !c.Conditions.AcceptsBackground(m.ID) {
			return noCandidate
		}
		return filled + penalty + c.recentPeerFailure(m) + linkPenalty(m, load, engine)
	})
}

// PickMigrationTarget returns the engine to which a generation of a leaving engine is moved, or nil
// when none accepts it.
func (c *Picker) PickMigrationTarget(service *routetable.Service, leaving *registry.Server, need *Requirements) *Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	rankOf := func(m *registry.Member, load engineload.Load) float64 {
		if m.ID == leaving.ID || !c.accepts(m, mostUrgent) {
			return noCandidate
		}
		return expectedFill(load, need, service.Engine) + overrunWeight*overrunProbability(load, need, service.Engine) +
			c.healthPenalty(m) + c.recentPeerFailure(m) + linkPenalty(m, load, leaving) + copyPenalty*pairJitter(leaving.ID, m.ID)
	}
	best := c.lowestEngine(service, need.constraints(), rankOf)
	for range maxRedraws {
		if best == nil || best.OverrunProbability(need, service.Engine) <= acceptableOverrun {
			break
		}
		if other := c.lowestEngine(service, need.constraints(), rankOf); other != nil && other.Rank < best.Rank {
			best = other
		}
	}
	return c.recordSent(best, mostUrgent)
}

// OverrunProbability returns the probability that the engine runs out of memory with the
// generation.
func (c *Candidate) OverrunProbability(need *Requirements, e *routetable.Engine) float64 {
	return overrunProbability(c.Load, need, e)
}

// overrunProbability returns the probability that an engine with this load runs out of memory with
// the generation.
func overrunProbability(load engineload.Load, need *Requirements, e *routetable.Engine) float64 {
	m := overrun.Memory{
		Total:       e.MemoryTokens,
		Held:        load.HeldTokens + load.CopyTokens + need.PromptTokens,
		Growth:      load.ExpectedGrowth + need.ExpectedTokens,
		Generations: load.Streams + 1,
	}
	return m.OverrunProbability()
}

// linkPenalty returns the part of a rank that depends on the transfer time of a copy: copies in
// transit to the engine, and the failure domain of the source.
func linkPenalty(m *registry.Member, load engineload.Load, source *registry.Server) float64 {
	rank := copyPenalty * float64(load.IncomingCopies)
	if m.Domain != source.Domain {
		rank += copyPenalty
	}
	return rank
}

// pairJitter returns a number from 0 to 1 that is fixed for a pair of engines, so that the
// generations of engines that leave together don't all move to the emptiest one.
func pairJitter(leaving, target string) float64 {
	return float64(xxhash.Sum64String(leaving+"/"+target)) / math.MaxUint64
}
