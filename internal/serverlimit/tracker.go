package serverlimit

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/telemetry"
)

// Tracker records the rate limits of servers. It is safe for concurrent use. Set the exported
// fields before use. A nil Tracker knows none.
type Tracker struct {
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// Box is the name of this box; Live returns the names of the live boxes, including this one.
	Box  string
	Live func() []string
	// Demand returns the requests a second that this box and its peers receive for a service, as
	// all boxes know them.
	Demand func(service string) (own float64, peers map[string]float64)
	// Broadcast sends a note to all other boxes. It must not block.
	Broadcast func(note []byte)
	// Draw returns a random number from 0 to 1, by which live boxes spread repeated notes.
	Draw func() float64

	// known is the number of servers in limits, so that the check on the request path costs next to
	// nothing while there are none.
	known atomic.Int64

	mu     sync.Mutex
	limits map[string]*limit
	// lastRetryAt is, by service, the latest time at which a refused caller was told to retry.
	lastRetryAt map[string]time.Time
	// shortages are the current shortages of permits, by service.
	shortages map[string]shortage
}

// Answer is what one answer of a server reports of its limit.
type Answer struct {
	backend.Limit

	Sent time.Time
	// Verified is set if the answer is proven to come from the server itself.
	Verified bool
}

// RecordAnswer applies an answer of a server instance.
func (b *Tracker) RecordAnswer(server string, a Answer) {
	if b == nil || !a.Stated && b.known.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.Stated:
		b.recordLimit(server, a.PerSecond)
	case a.Verified:
		b.recordMissing(server, a.Sent)
	}
}

// Retain drops the state of servers that are gone.
func (b *Tracker) Retain(known func(server string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, l := range b.limits {
		if !known(server) {
			b.drop(l)
		}
	}
}

// NumLimited returns the number of servers with a limit in force.
func (b *Tracker) NumLimited() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, l := range b.limits {
		if l.inForce() {
			n++
		}
	}
	return n
}

// RecordSent counts a request that is sent to a server.
func (b *Tracker) RecordSent(server string) {
	if b == nil || b.known.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.limits[server]; l != nil && l.inForce() {
		b.Metrics.OrDiscard().LimitedSends.Inc(server)
	}
}

// getOrCreate returns the limit of a server, creating one that is not in force if there is none.
// The lock must be held.
func (b *Tracker) getOrCreate(server string) *limit {
	l := b.limits[server]
	if l != nil {
		return l
	}
	if b.limits == nil {
		b.limits = make(map[string]*limit)
	}
	l = &limit{server: server}
	b.limits[server] = l
	b.known.Store(int64(len(b.limits)))
	return l
}

// drop removes the state of a server. The lock must be held.
func (b *Tracker) drop(l *limit) {
	if l.inForce() {
		b.logEnd(l, reasonGone)
	}
	delete(b.limits, l.server)
	b.known.Store(int64(len(b.limits)))
}

// recordLimit records an answer that names a limit. The lock must be held.
func (b *Tracker) recordLimit(server string, perSecond float64) {
	l := b.getOrCreate(server)
	began := l.recordNamed(perSecond, b.Clock.Now())
	if began || differ(l.logged, perSecond) {
		l.source = sourceAnswer
		b.logBegin(l)
		b.scheduleNote(l)
	}
}

// recordMissing records a verified answer that names no limit. The lock must be held.
func (b *Tracker) recordMissing(server string, sent time.Time) {
	l := b.limits[server]
	if l == nil || !l.inForce() || !l.recordMissing(sent, b.Clock.Now()) {
		return
	}
	b.logEnd(l, reasonAnswers)
	b.scheduleNote(l)
}
