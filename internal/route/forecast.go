package route

import (
	"time"

	"github.com/dalebend/dalebend/internal/prefix"
)

const (
	ringCandidates   = 2
	randomCandidates = 2
	maxCandidates    = ringCandidates + randomCandidates + 1

	// bytesPerToken converts the length of a shared prefix to tokens.
	bytesPerToken = 4
	// prefillCost is the prefill time of one uncached prompt token.
	prefillCost = 25 * time.Microsecond
	// otherDomainCost is the round-trip time added to each answer by an engine in
	// another failure domain.
	otherDomainCost = 2 * time.Millisecond
	// crowdingCost weights the penalty for engines with little free memory.
	crowdingCost = 0.5
)

// Forecast picks an engine whose forecast peak memory stays within its limit, and
// leaves the request waiting if there is none. Among several it picks the one with
// the earliest expected completion.
type Forecast struct{}

// candidates is a set of at most maxCandidates engines.
type candidates struct {
	list  [maxCandidates]*Engine
	count int
}

func (c *candidates) add(e *Engine) {
	for _, have := range c.list[:c.count] {
		if have == e {
			return
		}
	}
	c.list[c.count] = e
	c.count++
}

// Choose returns the best engine with enough memory; ok is false if the request
// should wait.
func (Forecast) Choose(r *Request, v *View) (best *Engine, ok bool) {
	var c candidates
	c.collect(r, v)
	bestCost := 0.0
	for _, e := range c.list[:c.count] {
		if !v.Usable(e) || e.Server().Name() == r.Avoid && c.count > 1 {
			continue
		}
		t := v.Terms
		t.BoxShare = e.Part
		t.MemoryLimit *= e.Share(v.Now)
		r.Stream.SetSharedTokens(SharedTokens(e, r.Blocks))
		filled, fits := e.FitsAtPeak(r.Stream, t)
		if !fits {
			continue
		}
		cost := expectedTime(e, r, v, filled)
		if !ok || cost < bestCost {
			best, bestCost, ok = e, cost, true
		}
	}
	return best, ok
}

func (c *candidates) collect(r *Request, v *View) {
	if v.Freed != nil {
		c.add(v.Freed)
	}
	if len(r.Blocks) > 0 {
		v.Ring.Walk(r.Blocks[0], ringCandidates, func(e *Engine) bool {
			c.add(e)
			return true
		})
	}
	members := v.Ring.Members()
	for range randomCandidates {
		if len(members) > 0 {
			c.add(members[v.Rand.IntN(len(members))])
		}
	}
}

// expectedTime returns the expected seconds to complete the answer on e.
func expectedTime(e *Engine, r *Request, v *View, filled float64) float64 {
	cached := min(e.PrefixIndex().MatchedBytes(r.Blocks)/bytesPerToken, r.PromptTokens)
	prefill := float64(r.PromptTokens-cached) * prefillCost.Seconds()
	step := e.Server().DecodeStep().Seconds()
	decode := r.Expected * step * (1 + crowdingCost*filled)
	if e.Server().FailureDomain() != v.Domain {
		decode += otherDomainCost.Seconds()
	}
	return prefill + decode
}

// SharedTokens returns the estimated number of prompt tokens in the engine's prefix
// cache.
func SharedTokens(e *Engine, blocks []uint64) int {
	return e.PrefixIndex().MatchedBytes(blocks) / prefix.BlockBytes * (prefix.BlockBytes / bytesPerToken)
}
