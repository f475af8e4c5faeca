// Package evidence tracks the health of the backend servers as this box observes it, and the last
// failures that other boxes report.
//
// A server that could not be reached is ejected for a time that doubles with each further failure;
// a later answer readmits it. Answers that report a failure don't eject a server: they lower its
// rank by its error rate. Ejection is advice: when every server is ejected, the caller may use any.
package evidence

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// firstEjection is the ejection time after a first failure: longer than the retransmission of a
	// lost opening packet takes, short compared with a restart of a server.
	firstEjection = 600 * time.Millisecond
	// maxEjection bounds the ejection time, so that a server that returns is used again within
	// about the time that it takes to warm up.
	maxEjection = 3 * time.Second
	// maxDoublings bounds the doublings of firstEjection, so that the product does not overflow;
	// maxEjection is reached with fewer.
	maxDoublings = 4
	// weight is the weight of one answer in a server's moving averages: about the last twenty
	// count.
	weight = 0.05
	// peerFailureTime is how long a failure reported by another box lowers a server's rank.
	peerFailureTime = time.Second
	// never is the time since an event that has not happened; any negative time serves.
	never time.Duration = -1
)

// Tracker is safe for concurrent use. Set the exported fields before use.
type Tracker struct {
	Clock clockwork.Clock
	// OnChange, if set, is called when a server is ejected or readmitted.
	OnChange func(server string, ejected bool, cause string)

	mu      sync.Mutex
	servers map[string]*record
}

// record is the state of one server. A zero time means never.
type record struct {
	// failures counts the ejections since the last answer.
	failures     int
	ejectedUntil time.Time
	// failedAt is when it last failed for this box, peerFailedAt when it did for another.
	failedAt     time.Time
	peerFailedAt time.Time
	// errors is the moving average of failed answers, latency that of the time to an answer in
	// nanoseconds.
	errors  float64
	latency float64
}

// RecordUnreachable records that the server could not be reached, stopped sending, or failed in a
// way that would affect the next request as well.
func (b *Tracker) RecordUnreachable(server, cause string) {
	now := b.Clock.Now()
	b.mu.Lock()
	r := b.recordOf(server)
	fresh := !now.Before(r.ejectedUntil)
	if fresh {
		r.failures++
		r.ejectedUntil = now.Add(min(maxEjection, firstEjection<<min(r.failures-1, maxDoublings)))
	}
	r.failedAt = now
	b.mu.Unlock()
	if fresh && b.OnChange != nil {
		b.OnChange(server, true, cause)
	}
}

// RecordAnswer records an answer of the server: how long it took, and whether it reported that the
// request failed.
func (b *Tracker) RecordAnswer(server string, took time.Duration, failed bool) {
	b.mu.Lock()
	r := b.recordOf(server)
	readmitted := r.failures > 0
	r.failures = 0
	r.ejectedUntil = time.Time{}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	r.errors += weight * (outcome - r.errors)
	if r.latency == 0 {
		r.latency = float64(took)
	}
	r.latency += weight * (float64(took) - r.latency)
	b.mu.Unlock()
	if readmitted && b.OnChange != nil {
		b.OnChange(server, false, "answered")
	}
}

// RecordPeerFailure records that the server failed for another box, so long ago.
func (b *Tracker) RecordPeerFailure(server string, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.Clock.Now().Add(-age)
	if r := b.recordOf(server); at.After(r.peerFailedAt) {
		r.peerFailedAt = at
	}
}

// Assessment is the observed health of one server.
type Assessment struct {
	// Ejected servers should get no work while others can take it.
	Ejected bool
	// PeerFailedRecently means that the server failed for another box within peerFailureTime.
	PeerFailedRecently bool
	// SincePeerFailure is the time since it failed for another box; negative if it never has.
	SincePeerFailure time.Duration
	// ErrorRate is the moving average of answers that reported a failure, 0 to 1.
	ErrorRate float64
	// Latency is the moving average of the time to an answer; 0 without answers.
	Latency time.Duration
	// FailedAt is when it was last unreachable; zero if never.
	FailedAt time.Time
}

// Assess returns the health of a server.
func (b *Tracker) Assess(server string) Assessment {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.servers[server]
	if r == nil {
		return Assessment{SincePeerFailure: never}
	}
	o := Assessment{
		Ejected:          now.Before(r.ejectedUntil),
		SincePeerFailure: never,
		ErrorRate:        r.errors,
		Latency:          time.Duration(r.latency),
		FailedAt:         r.failedAt,
	}
	if !r.peerFailedAt.IsZero() {
		o.SincePeerFailure = now.Sub(r.peerFailedAt)
		o.PeerFailedRecently = o.SincePeerFailure < peerFailureTime
	}
	return o
}

// EjectedCount returns the number of servers that are ejected now.
func (b *Tracker) EjectedCount() int {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range b.servers {
		if now.Before(r.ejectedUntil) {
			n++
		}
	}
	return n
}

// VisitFailures visits the servers that were unreachable within a duration.
func (b *Tracker) VisitFailures(within time.Duration, visit func(server string, age time.Duration)) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, r := range b.servers {
		age := now.Sub(r.failedAt)
		if !r.failedAt.IsZero() && age <= within {
			visit(server, age)
		}
	}
}

// Retain removes all servers except the known ones.
func (b *Tracker) Retain(known func(server string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for server := range b.servers {
		if !known(server) {
			delete(b.servers, server)
		}
	}
}

func (b *Tracker) recordOf(server string) *record {
	if b.servers == nil {
		b.servers = make(map[string]*record)
	}
	r := b.servers[server]
	if r == nil {
		r = &record{}
		b.servers[server] = r
	}
	return r
}
