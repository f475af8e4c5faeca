// Package peerstate keeps what the other boxes last told of themselves.
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
	boxes map[string]told
}

// told is a box's last digest and when it came.
type told struct {
	digest *digest.Digest
	at     time.Time
}

// Heard keeps a newer digest of a box.
func (t *Table) Heard(d *digest.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.boxes == nil {
		t.boxes = make(map[string]told)
	}
	t.boxes[d.Box] = told{digest: d, at: t.Clock.Now()}
}

// Retain forgets all boxes but the live ones and returns the names of those forgotten.
func (t *Table) Retain(live func(box string) bool) (gone []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.boxes {
		if !live(name) {
			delete(t.boxes, name)
			gone = append(gone, name)
		}
	}
	return gone
}

// InContact reports whether a box told that it reached the store within a while.
func (t *Table) InContact(within time.Duration) bool {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.boxes {
		if b.storeAge(now) <= within {
			return true
		}
	}
	return false
}

// never is the age of a contact that there was none of.
const never = time.Duration(1<<63 - 1)

// storeAge returns the time since the box reached the store, as known here.
func (b *told) storeAge(now time.Time) time.Duration {
	d := b.digest
	if !d.StoreReachable || d.StoreAgeMs < 0 {
		return never
	}
	return now.Sub(b.at) + time.Duration(d.StoreAgeMs)*time.Millisecond
}

// Refused reports whether a box told that it tried the store and did not reach it.
func (t *Table) Refused(box string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.boxes[box]
	return ok && b.digest.StoreTried && !b.digest.StoreReachable
}

// Leaving reports whether a box told that it is shutting down.
func (t *Table) Leaving(box string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.boxes[box]
	return ok && b.digest.Leaving
}
