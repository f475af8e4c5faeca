package choose

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
)

// Weights of an engine's rank, in the time that they cost a new generation.
const (
	// streamMs is what a generation that runs beside costs a new one: a longer
	// step for each of its tokens, some 0.12 ms over a few hundred steps, and the
	// risk that both leave with the engine.
	streamMs = 60.0
	// fullMs is the cost of an engine whose memory is expected to be full: work
	// would be pushed out and read again.
	fullMs = 20000.0
	// comfortable is the expected fill up to which memory costs nothing. Below it,
	// prompts that wait to be read matter more: at 0.75 the emptiest engine got
	// every prompt, and first events came seconds late.
	comfortable = 0.9
	// farMs is the cost of an engine in another failure domain: bytes between domains.
	farMs = 25.0
	// conductMs turns the rank of a server's behaviour into time.
	conductMs = 300.0
	// unreachableMs is the cost of an engine that another box has just failed to reach:
	// that of some twenty generations beside. An engine that is gone has nothing to do and
	// would be tried first by each box in turn while the store cannot tell that it is
	// gone. It falls to nothing within doubtTime, after which some box tries again.
	unreachableMs = 1500.0
	doubtTime     = 3 * time.Second
	// backupFill is the expected fill up to which an engine takes copies of generations that
	// run elsewhere: one that holds next to nothing does. A copy takes the memory of a whole
	// generation for as long as that runs, and all together fill a fleet that has room: with 0.85 187
	// and 67 generations were pushed out on two heavy days, with this 127 and 24, and no day of
	// another fleet lost more than chance does. Weighing what a copy saves against the chance that it
	// pushes another generation out let too many in: 154 and 200 on two days, against 95 and 138.
	backupFill = 0.25
	// copyTurn is the fill that an engine must be below for each copy that is on its
	// way there, as copies wait for each other on its link, and when it is in another
	// failure domain than the copy's source: a copy takes twice as long then. Without it
	// the emptiest engine gets every copy, and moves to it wait for up to 1.1 s of a
	// notice of 1.5 s: of 24 played days and seeds with 18 engines, 203 streams were lost,
	// 136 with it.
	copyTurn = 0.35
)

// Need is what a generation takes.
type Need struct {
	// Prompt is the number of prompt tokens, Expected that of tokens to generate.
	Prompt   int
	Expected int
	// Avoid names engines that it must not go to.
	Avoid []string
	// Homes are the regions that it may go to.
	Homes routetable.Homes
	// Within is the longest wait for its first event that is acceptable; 0 is any.
	Within time.Duration
}

// limits returns what bounds the choice of an engine.
func (n *Need) limits() limits { return limits{avoid: n.Avoid, homes: n.Homes} }

// Engine returns the engine for a generation, or nil when none may take new work. If the best of
// those considered can't begin it within the time that is acceptable, all are: 23 and 42 of 1,604
// and 1,785 summaries were refused twice on two heavy days then, and 42 and 81 without.
func (c *Chooser) Engine(service *routetable.Service, need *Need) *Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	promptMs := c.promptMs()
	rankOf := func(m *registry.Member, load engineload.Load) float64 {
		if !c.bears(m) {
			return noCandidate
		}
		return float64(load.Prefill)*promptMs + c.engineRank(m, load, need, service.Engine)
	}
	members := c.Directory.Service(service.Name)
	loads := c.Ledger.All()
	best := c.awaited(c.lowest(members, c.share(len(members)), loads, need.limits(), rankOf), need, service.Engine)
	if best != nil && need.Within > 0 && best.Wait.First > need.Within {
		best = c.awaited(c.lowest(members, 1, loads, need.limits(), rankOf), need, service.Engine)
	}
	return c.sent(best)
}

// lowestEngine returns the engine of the lowest rank, or nil when there is none. The lock must
// be held.
func (c *Chooser) lowestEngine(service *routetable.Service, bound limits,
	rankOf func(*registry.Member, engineload.Load) float64,
) *Candidate {
	members := c.Directory.Service(service.Name)
	return c.lowest(members, c.share(len(members)), c.Ledger.All(), bound, rankOf)
}

// leastConsidered is the least number of engines that are considered on average, so that
// hardly ever none is: then the best of all is taken.
const leastConsidered = 5

// share returns the probability with which each of some engines is considered. Boxes that
// choose at the same moment, not knowing of each other, would all take the emptiest engine:
// so each considers a part by chance, such that on average one of them considers it. It is
// 1, all but exactly, for a few boxes that tell each other within milliseconds. With 295
// boxes that start 170 generations a second, 195 of 5,073 had a late first event on a calm
// day, and 715 with all engines considered.
func (c *Chooser) share(engines int) float64 {
	if c.Unseen == nil {
		return 1
	}
	return max(1/(1+c.Unseen()), leastConsidered/float64(max(leastConsidered, engines)))
}

// engineRank is the time that a generation is expected to lose on an engine, in
// milliseconds, beside that for the prompts before its own.
func (c *Chooser) engineRank(m *registry.Member, load engineload.Load, need *Need, e *routetable.Engine) float64 {
	rank := float64(load.Streams) * streamMs
	rank += overfull(load, need, e) * fullMs
	if load.Streams >= e.Slots {
		rank += fullMs
	}
	if m.Domain != c.Domain {
		rank += farMs
	}
	return rank + conductMs*c.conduct(m) + unreachableMs*c.doubt(m)
}

// doubt returns 1 for an engine that another box has just failed to reach, and less
// the longer ago that was.
func (c *Chooser) doubt(m *registry.Member) float64 {
	since := c.Evidence.Opinion(m.ID).PeerFailure
	if since < 0 || since > doubtTime {
		return 0
	}
	return 1 - float64(since)/float64(doubtTime)
}

// overfull returns the part of the memory that is expected to be missing.
func overfull(load engineload.Load, need *Need, e *routetable.Engine) float64 {
	return max(0, fill(load, need, e)-comfortable)
}

// fill returns the part of the memory that is expected to be taken with the generation.
func fill(load engineload.Load, need *Need, e *routetable.Engine) float64 {
	peak := load.Peak() + need.Prompt + need.Expected
	return float64(peak) / float64(max(1, e.MemoryTokens))
}

// Emptying returns how long it takes to move what runs on an engine without a copy
// elsewhere to others, one generation after the other, with this one.
func (c *Chooser) Emptying(service *routetable.Service, engine string, need *Need) time.Duration {
	load := c.Ledger.All()[engine]
	unread := load.Prefill / max(1, need.Prompt)
	held := (load.Tokens + need.Prompt) / (load.Streams + 1)
	return time.Duration(load.Bare+unread+1) * service.Engine.MoveTime(held)
}

// Backup returns the engine that gets a copy of a generation that runs on
// engine, or nil when none has room to spare.
func (c *Chooser) Backup(service *routetable.Service, engine *registry.Server, need *Need) *Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowestEngine(service, need.limits(), func(m *registry.Member, load engineload.Load) float64 {
		full := fill(load, need, service.Engine)
		conduct := c.conduct(m)
		if m.ID == engine.ID || full > backupFill || conduct >= ejectedRank {
			return noCandidate
		}
		return full + conduct + c.doubt(m) + linkRank(m, load, engine)
	})
}

// Refuge returns the engine that a generation of a leaving engine is moved to,
// or nil when none may take new work.
func (c *Chooser) Refuge(service *routetable.Service, leaving *registry.Server, need *Need) *Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent(c.lowestEngine(service, need.limits(), func(m *registry.Member, load engineload.Load) float64 {
		if m.ID == leaving.ID || !c.bears(m) {
			return noCandidate
		}
		return fill(load, need, service.Engine) + c.conduct(m) + c.doubt(m) +
			linkRank(m, load, leaving) + copyTurn*preference(leaving.ID, m.ID)
	}))
}

// linkRank is the part of a rank that follows from the time of a copy: the copies that
// are on their way to the engine, and the way from the copy's source.
func linkRank(m *registry.Member, load engineload.Load, source *registry.Server) float64 {
	rank := copyTurn * float64(load.Arriving)
	if m.Domain != source.Domain {
		rank += copyTurn
	}
	return rank
}

// preference returns a number from 0 to 1 that differs for each pair of engines, so that
// the generations of engines that leave together do not all go to the emptiest one.
func preference(leaving, refuge string) float64 {
	return float64(xxhash.Sum64String(leaving+"/"+refuge)) / math.MaxUint64
}
