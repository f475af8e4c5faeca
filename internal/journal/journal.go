// Package journal keeps the last decisions of a process in memory, with their
// reasons, so that an operator can ask why a request went as it did.
//
// It is bounded: the oldest event gives way. Nothing is written to disk.
package journal

import (
	"sync"
	"time"
)

// Kind names a decision.
type Kind string

// The kinds of events.
const (
	Queued     Kind = "queued"
	Routed     Kind = "routed"
	Refused    Kind = "refused"
	Retried    Kind = "retried"
	Resumed    Kind = "resumed"
	PushedBack Kind = "pushed-aside"
	Continued  Kind = "continued"
	Ended      Kind = "ended"
	Ejected    Kind = "ejected"
	Readmitted Kind = "readmitted"
	Snapshot   Kind = "snapshot-in-force"
	Claimed    Kind = "claimed"
	Order      Kind = "order-sent"
	Lease      Kind = "lease"
	Leaving    Kind = "leaving"
	Lent       Kind = "room-lent"
)

// Event is one decision.
type Event struct {
	// At is the clock reading of the process.
	At time.Time `json:"at"`
	// Kind names the decision.
	Kind Kind `json:"kind"`
	// Request is the id of the request, if the decision was about one.
	Request string `json:"request,omitempty"`
	// Account and Server are names, if they matter.
	Account string `json:"account,omitempty"`
	Server  string `json:"server,omitempty"`
	// Reason says why, in words.
	Reason string `json:"reason,omitempty"`
}

// Journal keeps the last events. It is safe for concurrent use.
type Journal struct {
	mu     sync.Mutex
	events []Event
	next   int
	total  int64
}

// New returns a journal of size events.
func New(size int) *Journal { return &Journal{events: make([]Event, 0, max(size, 1))} }

// Record keeps an event.
func (j *Journal) Record(e Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.total++
	if len(j.events) < cap(j.events) {
		j.events = append(j.events, e)
		return
	}
	j.events[j.next] = e
	j.next = (j.next + 1) % len(j.events)
}

// Select returns the events for which keep holds, oldest first, at most limit of
// the latest.
func (j *Journal) Select(limit int, keep func(*Event) bool) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := []Event{}
	for i := range j.events {
		e := &j.events[(j.next+i)%len(j.events)]
		if keep(e) {
			out = append(out, *e)
		}
	}
	if len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

// Total returns how many events were recorded, those that gave way too.
func (j *Journal) Total() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.total
}
