// Package retrypriority tracks the callers that were refused for lack of capacity, and gives
// priority to their retries.
//
// It serves load peaks above the capacity of the engines: without it a caller that waited for the
// time given in the refusal competes with new ones, and may be refused again without end. A retry
// is recognized, at any box, by the content of its request. Boxes broadcast refusals and retries in
// notes of a few bytes.
//
// Invariants: a refusal gives priority to one request of the same account, once, and only until its
// retry time and slack have passed; the tracker is bounded, in total and per account. If a note is
// lost or a box dies, a caller loses its priority and nothing else.
package retrypriority

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/coalesce"
)

const (
	// slack is how long after its retry time a caller still has priority: it opens a connection,
	// for which it has a second, perhaps to another box than the first that it tries.
	slack = 2 * time.Second
	// maxKnown bounds the callers of all boxes that are tracked: those of some seconds in which 300
	// boxes refuse ten a second each, in 100 KB.
	maxKnown = 4096
	// maxOwn bounds the refusals of this box that are broadcast and kept at a time.
	maxOwn = 256
	// maxPerAccount bounds those of one account, so that an account that sends without limit takes
	// at most a quarter of them.
	maxPerAccount = maxOwn / 4
	// coalesceTime is how long refusals are collected for one note. Callers retry after a second at
	// the earliest.
	coalesceTime = 100 * time.Millisecond
)

// Tracker holds the callers with priority, as known to this box. It is safe for concurrent use. Set
// the exported fields before use. A nil Tracker tracks no callers.
type Tracker struct {
	Clock clockwork.Clock
	// Broadcast, if set, sends a note to all other boxes. It must not block.
	Broadcast func(note []byte)

	mu sync.Mutex
	// until is when the priority of each caller ends, by key.
	until map[uint64]time.Time
	// own holds the refusals of this box, by key, including those that were retried: they count
	// against the bounds until their time has passed.
	own map[uint64]ownRefusal
	// ofAccount counts own by account.
	ofAccount map[string]int
	// pending holds the entries of the next note, which coalescer sends.
	pending   []entry
	coalescer coalesce.Coalescer
}

type ownRefusal struct {
	account string
	until   time.Time
}

// RecordRefusal records that a caller was told to retry after a time. It reports whether that retry
// gets priority: not if the request has no key, or too many are tracked.
func (b *Tracker) RecordRefusal(key uint64, account string, after time.Duration) bool {
	if b == nil || key == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	b.evictOwn(now)
	if len(b.own) >= maxOwn || b.ofAccount[account] >= maxPerAccount {
		return false
	}
	after += slack
	if !b.add(key, now.Add(after), now) {
		return false
	}
	if b.own == nil {
		b.own, b.ofAccount = make(map[uint64]ownRefusal), make(map[string]int)
	}
	if _, twice := b.own[key]; !twice {
		b.ofAccount[account]++
	}
	b.own[key] = ownRefusal{account: account, until: now.Add(after)}
	b.enqueue(entry{key: key, left: after})
	return true
}

// Claim reports whether a request has priority as the retry of a refused one, and uses the priority
// up.
func (b *Tracker) Claim(key uint64) bool {
	if b == nil || key == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	until, known := b.until[key]
	if !known {
		return false
	}
	delete(b.until, key)
	b.enqueue(entry{key: key})
	return b.Clock.Now().Before(until)
}

// ReceiveNote applies a note of another box. A note that can't be decoded completely is ignored.
func (b *Tracker) ReceiveNote(note []byte) {
	list, ok := decode(note)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for _, e := range list {
		if e.left <= 0 {
			delete(b.until, e.key)
			continue
		}
		b.add(e.key, now.Add(e.left), now)
	}
}

// Len returns the number of callers with priority.
func (b *Tracker) Len() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.until)
}

// add adds a caller. It reports false if there is no space. The lock must be held.
func (b *Tracker) add(key uint64, until, now time.Time) bool {
	if b.until == nil {
		b.until = make(map[uint64]time.Time)
	}
	if _, known := b.until[key]; !known && len(b.until) >= maxKnown && !b.evictExpired(now) {
		return false
	}
	b.until[key] = until
	return true
}

// evictExpired removes callers whose priority has ended, and reports whether there is space now.
// The lock must be held.
func (b *Tracker) evictExpired(now time.Time) bool {
	for key, until := range b.until {
		if now.After(until) {
			delete(b.until, key)
		}
	}
	return len(b.until) < maxKnown
}

// evictOwn removes refusals of this box whose time has passed. The lock must be held.
func (b *Tracker) evictOwn(now time.Time) {
	for key, r := range b.own {
		if now.Before(r.until) {
			continue
		}
		delete(b.own, key)
		if !b.until[key].After(r.until) {
			// No other box has refused it since.
			delete(b.until, key)
		}
		b.ofAccount[r.account]--
		if b.ofAccount[r.account] == 0 {
			delete(b.ofAccount, r.account)
		}
	}
}

// enqueue adds an entry to the next note. The lock must be held.
func (b *Tracker) enqueue(e entry) {
	if b.Broadcast == nil || len(b.pending) >= maxOwn {
		return
	}
	b.pending = append(b.pending, e)
	b.coalescer.Schedule(b.Clock, coalesceTime, b.send)
}

// send broadcasts the pending note.
func (b *Tracker) send() {
	b.mu.Lock()
	note := encode(b.pending)
	b.pending = b.pending[:0]
	b.mu.Unlock()
	b.Broadcast(note)
}
