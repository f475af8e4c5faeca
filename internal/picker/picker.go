// Package picker picks the backend server for a request.
//
// Servers of plain requests are ranked by the requests that this box has in flight there and by
// their health; model engines by the load from all boxes. Choices are deterministic except that
// ties are broken at random and large sets are sampled.
package picker

import (
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/dalebend/dalebend/internal/admission"
	"github.com/dalebend/dalebend/internal/coldstart"
	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/decodetime"
	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/evidence"
	"github.com/dalebend/dalebend/internal/prefilldemand"
	"github.com/dalebend/dalebend/internal/prefilltime"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
)

// Weights of a plain server's rank. A rank of 1 is a server whose slots are all taken by requests
// of this box.
const (
	// otherDomainPenalty equals a third of a server's slots: crossing to another failure domain
	// costs bandwidth and a millisecond, and a server with a third of its slots taken still answers
	// at once.
	otherDomainPenalty = 0.33
	// errorRateWeight weighs the share of failed answers. At 45 in 100, usual for a server that
	// fails while its health check passes, the penalty exceeds that of a full server.
	errorRateWeight = 3.0
	// peerFailurePenalty applies when another box could not reach the server.
	peerFailurePenalty = 0.7
	// lapsedPenalty applies to a registry entry that vanished while the store was unavailable.
	lapsedPenalty = 0.5
	// tieJitter spreads requests over servers of equal rank.
	tieJitter = 0.02
)

// ejectedRank puts ejected servers behind all others, the one with the oldest failure first.
const ejectedRank = 1e6

// Picker picks servers. It is safe for concurrent use; set the exported fields before use.
type Picker struct {
	Directory  *registry.Directory
	Evidence   *evidence.Tracker
	EngineLoad *engineload.Tracker
	// Domain is the failure domain of this box.
	Domain string
	// Rand breaks ties and samples the engines to consider.
	Rand *rand.Rand
	// UnseenPlacements returns the expected number of generations that other boxes have placed and
	// not yet reported to this one. Nil means none.
	UnseenPlacements func() float64
	// Region returns the region of a failure domain, or "" if it is unknown. Nil knows no regions.
	Region func(domain string) string
	// PrefillTime estimates the time per prompt token. Nil means the default.
	PrefillTime *prefilltime.Estimator
	// DecodeTime estimates the time per output token of each engine; nil treats all engines as
	// equally fast. PrefillDemand is the rate of prompt tokens sent to each engine; nil counts only
	// the prompts that are pending now.
	DecodeTime    *decodetime.Estimator
	PrefillDemand *prefilldemand.Rates
	// ColdGate limits requests to cold servers. ColdRate returns the requests per second that a
	// cold server of a service can sustain, 0 for no limit. A nil ColdGate sets no limit.
	ColdGate *coldstart.Gate
	ColdRate func(service string) float64
	// Conditions holds the limits, hold-offs and shutdown notices that servers have sent. Nil means
	// none.
	Conditions *condition.Tracker

	mu       sync.Mutex
	inFlight map[string]int
}

// Candidate is a picked server with the state that the choice was based on.
type Candidate struct {
	*registry.Server
	// Rank is the server's cost; the lowest is picked.
	Rank float64
	// Load is the known load of an engine.
	Load engineload.Load
	// PoolSize is the number of servers of the service.
	PoolSize int
	// Wait is the expected wait for the first event on an engine.
	Wait admission.Estimate
	// ExpectedPauses is the expected number of generations with a pause longer than their callers
	// accept: this one, and those that run on the engine during its prefill.
	ExpectedPauses float64
	// cold is set if the server was cold when it was picked.
	cold bool
}

// Reason returns why the server was picked, for logs.
func (c *Candidate) Reason() string {
	switch {
	case c.Rank >= ejectedRank:
		return "every server is ejected, its failure is the oldest"
	case c.PoolSize == 1:
		return "it is the only one"
	default:
		return "lowest rank"
	}
}

// constraints restrict a choice.
type constraints struct {
	// avoid names servers that must not be picked.
	avoid []string
	// homes are the regions whose servers may be picked.
	homes routetable.AllowedRegions
}

// PickServer returns the server for a plain request, or nil when none accepts it. Priority 0 is the
// most urgent. Avoid names servers that the request was already sent to.
func (c *Picker) PickServer(service string, priority int, homes routetable.AllowedRegions, avoid []string) *Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := c.Directory.Service(service)
	best := c.lowestRanked(members, 1, nil, constraints{avoid, homes}, func(m *registry.Member, _ engineload.Load) float64 {
		if !c.accepts(m, priority) {
			return noCandidate
		}
		return c.plainRank(m)
	})
	return c.recordSent(best, priority)
}

// plainRank returns the rank of a plain server. A server with a stated limit has no penalty for
// another failure domain: requests that it doesn't get from any box go to its neighbours instead.
func (c *Picker) plainRank(m *registry.Member) float64 {
	rank := float64(c.inFlight[m.ID])/float64(max(1, m.Slots)) + c.healthPenalty(m)
	if m.Domain != c.Domain && !c.Conditions.IsLimited(m.ID) {
		rank += otherDomainPenalty
	}
	return rank
}

// noCandidate is the rank of a server that must not be picked.
const noCandidate = math.MaxFloat64

// lowestRanked returns the server of the lowest rank, or nil when there is none. Each server is
// sampled with probability share; if the sample has no usable server, all are ranked. rankOf gets
// the server's load, which is zero if unknown. The lock must be held.
func (c *Picker) lowestRanked(members []*registry.Member, share float64, loads *engineload.View, limits constraints,
	rankOf func(*registry.Member, engineload.Load) float64,
) *Candidate {
	rank := func(m *registry.Member) float64 {
		if slices.Contains(limits.avoid, m.ID) || !limits.homes.Allow(c.region(m.Domain)) {
			return noCandidate
		}
		return rankOf(m, loads.Load(m.ID))
	}
	best := lowestRankedOf(members, sample(len(members), share, c.Rand), rank)
	if share < 1 && (best == noPick || best.rank >= ejectedRank) {
		best = lowestRankedOf(members, sample(len(members), 1, c.Rand), rank)
	}
	return c.newCandidate(members, best, loads)
}

// lowestRankedOf returns the sampled member of the lowest rank, the first among equals.
func lowestRankedOf(members []*registry.Member, indices iter.Seq[int], rankOf func(*registry.Member) float64) pick {
	best := noPick
	for i := range indices {
		if rank := rankOf(members[i]); rank < noCandidate {
			best = best.orLower(i, rank)
		}
	}
	return best
}

// pick is an index into a list of members, with its rank.
type pick struct {
	index int
	rank  float64
}

// noPick means that no member was picked.
var noPick = pick{index: -1}

// orLower returns the pick of the lower rank, the first among equals.
func (p pick) orLower(index int, rank float64) pick {
	if p == noPick || rank < p.rank {
		return pick{index: index, rank: rank}
	}
	return p
}

// newCandidate returns the candidate for a pick, or nil for noPick.
func (c *Picker) newCandidate(members []*registry.Member, p pick, loads *engineload.View) *Candidate {
	if p == noPick {
		return nil
	}
	m := members[p.index]
	return &Candidate{
		Server: m.Server, Rank: p.rank, Load: loads.Load(m.ID), PoolSize: len(members),
		cold: m.Cold(c.Directory.Clock.Now()),
	}
}

// region returns the region of a failure domain, or "" if it is unknown.
func (c *Picker) region(domain string) string {
	if c.Region == nil {
		return ""
	}
	return c.Region(domain)
}

// BeginRequest counts a request in flight at a plain server until end is called.
func (c *Picker) BeginRequest(server string) (end func()) {
	c.count(server, 1)
	return func() { c.count(server, -1) }
}

func (c *Picker) count(server string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == nil {
		c.inFlight = make(map[string]int)
	}
	c.inFlight[server] += n
	if c.inFlight[server] == 0 {
		delete(c.inFlight, server)
	}
}

// healthPenalty returns the part of a rank that depends on errors and failures of a server.
func (c *Picker) healthPenalty(m *registry.Member) float64 {
	o := c.Evidence.Assess(m.ID)
	rank := errorRateWeight*o.ErrorRate + tieJitter*c.Rand.Float64()
	if o.PeerFailedRecently {
		rank += peerFailurePenalty
	}
	if !m.LapsesAt.IsZero() {
		rank += lapsedPenalty
	}
	if o.Ejected {
		rank += ejectedRank + float64(o.FailedAt.UnixMilli())
	}
	return rank
}
