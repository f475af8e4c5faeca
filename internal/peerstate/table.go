// Package peerstate keeps the last digest of each other box.
package peerstate

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/digest"
)

// Table is safe for concurrent use. Set Clock before use.
type Table struct {
	Clock clockwork.Clock

	mu    sync.Mutex
	boxes map[string]report
	// recentContact is a box that reported a recent contact with the store; it is checked before
	// all others.
	recentContact string
}

// report is the last digest of a box and when it arrived.
type report struct {
	digest *digest.Digest
	at     time.Time
}

// Update stores a newer digest of a box. It reports whether the box is new, or whether its access
// to the store or its shutdown state has changed.
func (t *Table) Update(d *digest.Digest) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.boxes == nil {
		t.boxes = make(map[string]report)
	}
	old, ok := t.boxes[d.Box]
	t.boxes[d.Box] = report{digest: d, at: t.Clock.Now()}
	return !ok || old.digest.StoreReachable != d.StoreReachable ||
		old.digest.StoreTried != d.StoreTried || old.digest.Leaving != d.Leaving
}

// Forget removes a box.
func (t *Table) Forget(box string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.boxes, box)
}

// InContact reports whether any box reached the store within a duration, by its own report.
func (t *Table) InContact(within time.Duration) bool {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, ok := t.boxes[t.recentContact]; ok && b.storeAge(now) <= within {
		return true
	}
	for name, b := range t.boxes {
		if b.storeAge(now) <= within {
			t.recentContact = name
			return true
		}
	}
	return false
}

// never is the age of a contact if there was none.
const never = time.Duration(1<<63 - 1)

// storeAge returns the time since the box reached the store.
func (b *report) storeAge(now time.Time) time.Duration {
	d := b.digest
	if !d.StoreReachable || d.StoreAgeMs < 0 {
		return never
	}
	return now.Sub(b.at) + time.Duration(d.StoreAgeMs)*time.Millisecond
}

// Refused reports whether a box tried the store and could not reach it.
func (t *Table) Refused(box string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.boxes[box]
	return ok && b.digest.StoreTried && !b.digest.StoreReachable
}

// Reaches reports whether a box reached the store within a duration, by its own report.
func (t *Table) Reaches(box string, within time.Duration) bool {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.boxes[box]
	return ok && b.storeAge(now) <= within
}

// Leaving reports whether a box is shutting down.
func (t *Table) Leaving(box string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.boxes[box]
	return ok && b.digest.Leaving
}

// Strength returns the relay capacity of a box, 0 if unknown.
func (t *Table) Strength(box string) int32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, ok := t.boxes[box]; ok {
		return b.digest.Strength
	}
	return 0
}
