// Package coldstart bounds the requests that this box sends to backend servers that have just
// started.
//
// A cold server sustains a bounded number of requests within a second, from all boxes in total, and
// fails well above it. Boxes do not coordinate before sending: for each server the first boxes in a
// hash order, as many as the server sustains requests, may each send one request within a second,
// or more if there are few boxes. Half of the bound is assigned like that. The rest covers streams
// that continue on a server that has their copy, which are never held back, and boxes that do not
// know of all others.
//
// Invariant: boxes that know of the same boxes stay within the bound whatever callers do, and so do
// network partitions, as boxes that are lost keep their share for lostBoxMemory. The cost: a share
// that its box does not need is not used by another.
package coldstart

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

const (
	// window is the time over which a box's requests are counted: the second of the bound, plus the
	// difference in latency of two requests to the server.
	window = 1200 * time.Millisecond
	// sharedRatio is the part of the bound that is assigned to boxes.
	sharedRatio = 0.5
	// lostBoxMemory is how long a box that is no longer live keeps its share: longer than network
	// partitions in users' fleets, which last some seconds.
	lostBoxMemory = time.Minute
	// rankAge is how long a computed order of the boxes is used. Computing it hashes every box.
	rankAge = 500 * time.Millisecond
)

// Bound is what a cold server sustains within a second from all boxes in total.
type Bound struct {
	// Factor is multiplied by the rate that the service declares; Slack is added.
	Factor float64
	Slack  float64
}

// requests returns the bound for a declared rate.
func (b Bound) requests(perSecond float64) float64 { return perSecond*b.Factor + b.Slack }

// Gate is safe for concurrent use. Set the exported fields before use.
type Gate struct {
	Clock clockwork.Clock
	Box   string
	// Live returns the names of the live boxes, including this one.
	Live  func() []string
	Bound Bound

	mu sync.Mutex
	// seen is when each box was last live.
	seen map[string]time.Time
	// shares holds this box's share of each server.
	shares map[string]*share
}

// share is what this box may send to one server.
type share struct {
	maxSent int
	ranked  time.Time
	// sent are the times of the requests within the window.
	sent []time.Time
}

// Accepts reports whether this box may send a request now to a cold server whose service declares
// the given rate. There is no bound if the service declares no rate or the settings state no bound.
func (g *Gate) Accepts(server string, perSecond float64) bool {
	if perSecond <= 0 || g.Bound == (Bound{}) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	s := g.share(server, perSecond, now)
	s.forget(now)
	return len(s.sent) < s.maxSent
}

// RecordSent counts a request that is sent to a cold server.
func (g *Gate) RecordSent(server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.shares[server]; s != nil {
		s.sent = append(s.sent, g.Clock.Now())
	}
}

// share returns this box's share of a server.
func (g *Gate) share(server string, perSecond float64, now time.Time) *share {
	s := g.shares[server]
	if s != nil && now.Sub(s.ranked) < rankAge {
		return s
	}
	if s == nil {
		g.drop(now)
		s = &share{}
		if g.shares == nil {
			g.shares = make(map[string]*share)
		}
		g.shares[server] = s
	}
	s.maxSent = g.part(server, int(sharedRatio*g.Bound.requests(perSecond)), now)
	s.ranked = now
	return s
}

// part returns how many of a server's total requests this box may send.
func (g *Gate) part(server string, all int, now time.Time) int {
	boxes := g.boxes(now)
	all = max(all, 1)
	if len(boxes) <= all {
		return all / len(boxes)
	}
	own := hashOrder(server, g.Box)
	before := 0
	for _, box := range boxes {
		if hashOrder(server, box) < own {
			before++
		}
	}
	if before < all {
		return 1
	}
	return 0
}

// boxes returns the names of all boxes that may send: those live now or within lostBoxMemory.
func (g *Gate) boxes(now time.Time) []string {
	if g.seen == nil {
		g.seen = make(map[string]time.Time)
	}
	for _, box := range g.Live() {
		g.seen[box] = now
	}
	g.seen[g.Box] = now
	boxes := make([]string, 0, len(g.seen))
	for box, at := range g.seen {
		if now.Sub(at) > lostBoxMemory {
			delete(g.seen, box)
			continue
		}
		boxes = append(boxes, box)
	}
	return boxes
}

// drop removes servers that have not been asked about recently: they are warm or gone.
func (g *Gate) drop(now time.Time) {
	for server, s := range g.shares {
		if now.Sub(s.ranked) > window+rankAge {
			delete(g.shares, server)
		}
	}
}

// forget drops requests that are older than the window.
func (s *share) forget(now time.Time) {
	s.sent = slices.DeleteFunc(s.sent, func(at time.Time) bool { return now.Sub(at) >= window })
}

func hashOrder(server, box string) uint64 { return xxhash.Sum64String(server + "/" + box) }
