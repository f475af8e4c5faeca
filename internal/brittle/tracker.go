// Package brittle tracks backend servers that fall over when they have to turn away too many requests in
// a second, and keeps what all boxes together make them turn away below that.
//
// A server has room for as many requests as it runs at once; fewer than usual may wait there. So the boxes
// share its slots, without a question to each other: each computes from the demand that all report which
// boxes use the server, and how many requests each may have there. A box that is turned away all the same
// rests for so long that all of them together stay below what the server bears.
package brittle

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// restMargin lengthens a box's rest, as boxes know different things for a moment.
	restMargin = 1.25
	// maxRest bounds a rest: a server that states 0 is tried again.
	maxRest = 10 * time.Second
	// shareAge is how long a computed share is used: half of the heartbeat interval, as heartbeats carry
	// the demand of boxes.
	shareAge = 200 * time.Millisecond
	// answersWithout is the number of answers in a row that end it: one may lack the statement.
	answersWithout = 2
)

// Tracker is safe for concurrent use. Set the exported fields before use. A nil Tracker knows no brittle
// server.
type Tracker struct {
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Box is the name of this box; Live returns the names of the live boxes, including this one.
	Box  string
	Live func() []string
	// Demand returns the demand for a service of this box and of others, in requests a second.
	Demand func(service string) (own float64, peers map[string]float64)

	// known is the number of brittle servers, so that the check on the request path costs next to nothing
	// while there are none.
	known atomic.Int64

	mu      sync.Mutex
	servers map[string]*server
}

// server is the state of one brittle server instance.
type server struct {
	// perSecond is how many requests it can turn away in a second, since when it states any number.
	perSecond float64
	since     time.Time
	// without counts the answers in a row that state none.
	without int
	// share is how many requests this box may have there, of boxes that use the server, as of a time. boxes
	// is 0 before the first share.
	share, boxes int
	sharedAt     time.Time
}

// Answer is what one answer of a server reports.
type Answer struct {
	// Stated is set if the answer says that the server is brittle: PerSecond is how many requests it can
	// turn away in a second.
	Stated    bool
	PerSecond float64
	// Verified is set if the answer is proven to come from the server itself.
	Verified bool
}

// RecordAnswer records an answer of a server instance.
func (b *Tracker) RecordAnswer(id string, a Answer) {
	if b == nil || !a.Stated && b.known.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	switch {
	case a.Stated && s == nil:
		s = &server{since: b.Clock.Now(), perSecond: a.PerSecond}
		b.set(id, s)
		b.logBegin(id, s)
	case a.Stated:
		s.perSecond, s.without = a.PerSecond, 0
	case s != nil && a.Verified:
		if s.without++; s.without >= answersWithout {
			b.set(id, nil)
			b.logEnd(id, s)
		}
	}
}

// HasRoom reports whether this box may send a request of a service to a server with a number of slots,
// where it already has some in flight.
func (b *Tracker) HasRoom(id, service string, slots, inFlight int) bool {
	if b == nil || b.known.Load() == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return true
	}
	if now := b.Clock.Now(); s.boxes == 0 || now.Sub(s.sharedAt) >= shareAge {
		s.sharedAt = now
		s.share, s.boxes = b.shareOf(id, service, max(1, slots))
	}
	return inFlight < s.share
}

// Rest returns for how long this box sends nothing to a server that has turned a request away, 0 if it is
// not brittle.
func (b *Tracker) Rest(id string) time.Duration {
	if b == nil || b.known.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return 0
	}
	boxes := s.boxes
	if boxes == 0 {
		boxes = len(b.Live())
	}
	seconds := restMargin * float64(boxes) / s.perSecond
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second))
}

// NumBrittle returns the number of brittle servers.
func (b *Tracker) NumBrittle() int { return int(b.known.Load()) }

// Retain drops the state of servers that are gone.
func (b *Tracker) Retain(known func(server string) bool) {
	if b == nil || b.known.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.servers {
		if !known(id) {
			b.set(id, nil)
		}
	}
}

// set stores the state of a server; nil removes it. The lock must be held.
func (b *Tracker) set(id string, s *server) {
	if b.servers == nil {
		b.servers = make(map[string]*server)
	}
	if s == nil {
		delete(b.servers, id)
	} else {
		b.servers[id] = s
	}
	b.known.Store(int64(len(b.servers)))
}
