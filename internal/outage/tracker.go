// Package outage finds out when the store has come back after an outage in which entries may have
// lapsed.
//
// An outage is a time without a contact of any box with the store, in which a box failed to reach
// it, as far as this process was run. Shorter gaps are none: the boxes that follow the store may have
// been cut off from it, or a call may have failed.
package outage

import (
	"sync"
	"time"
)

// MinGap is the shortest outage. Entries lapse after three missed writes, and the boxes notice
// within less that those that follow the store are cut off. It is longer than the time for which
// vanished entries stay in use, so that a second outage never prolongs that.
const MinGap = 2 * time.Second

// newsLead is how much earlier than the first report of a contact a new view may arrive.
const newsLead = 500 * time.Millisecond

// Tracker is safe for concurrent use. The zero value has seen no contact.
type Tracker struct {
	mu sync.Mutex
	// contact is the time of the last contact of any box, failure that of the last failure.
	contact, failure time.Time
	returned         time.Time
	// paused is the time since contact in which this process was not run: it heard nobody then.
	paused time.Duration
}

// RecordFailure records that a box failed to reach the store at a time; a zero time is ignored.
func (t *Tracker) RecordFailure(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.failure) {
		t.failure = at
	}
}

// RecordContact records that the store answered a box at a time.
func (t *Tracker) RecordContact(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(t.contact) {
		return
	}
	if t.away(at) && at.Sub(t.returned) >= newsLead {
		t.returned = at
	}
	t.contact, t.paused = at, 0
}

// RecordPause records that this process was not run for a while, before what happened meanwhile is
// recorded.
func (t *Tracker) RecordPause(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paused += d
}

// RecordView records that a newer view was received from another box, which has read it from the
// store at some time. After an outage it may be the first sign of the return.
func (t *Tracker) RecordView(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.away(at) && !t.returned.After(t.contact) {
		t.returned = at
	}
}

// away reports whether there was an outage until a time. The lock must be held.
func (t *Tracker) away(at time.Time) bool {
	return t.failure.After(t.contact) && at.Sub(t.contact)-t.paused >= MinGap
}

// Returned returns when the store was first reached after the last outage, zero if there was none.
func (t *Tracker) Returned() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.returned
}

// LastContact returns the time of the last contact, zero if there was none.
func (t *Tracker) LastContact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contact
}
