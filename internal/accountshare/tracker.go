// Package accountshare tracks, over all boxes, the tokens that each client account recently used on
// engines, and which accounts exceed their usage share.
//
// It serves overload caused mostly by few accounts. Without it the accounts with most requests get
// most of the capacity that is freed, and the others get none as long as the overload lasts. The
// counts are those of a virtual token counter, prompt and expected answer together, with
// exponential decay: an idle account gains no claim to more than its share later.
//
// Capacity is considered short for shortageTime after a caller of an account within its share was
// refused. Without a shortage no account takes anything from another, and none is over its share.
//
// Boxes broadcast the tokens that they placed in notes of a few bytes. If a note is lost or a box
// dies, an account appears smaller than it is for some seconds; each side of a network partition
// counts only what it placed.
//
// Invariants: never all accounts are over their share; the tracker's size is bounded; its state
// decays by itself.
package accountshare

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/coalesce"
)

const (
	// decayTime is the time constant after which the weight of used tokens has dropped to 1/e: that
	// for which long answers occupy memory.
	decayTime = 10 * time.Second
	// maxShareRatio is the largest usage of an account, in equal shares of the total, before others
	// go first. It is above 1, as no account sends evenly.
	maxShareRatio = 1.5
	// minTokens is the usage from which an account is counted among the sharers, in tokens: less
	// than one short prompt.
	minTokens = 100
	// maxAccounts bounds the accounts that are tracked, to 40 KB: several times those of the users.
	maxAccounts = 1024
	// shortageTime is how long capacity is considered short after a refusal: as long as a load peak
	// lasts.
	shortageTime = 4 * time.Second
	// coalesceTime is how long tokens are collected for one note: short compared with a load peak,
	// which lasts for seconds.
	coalesceTime = 500 * time.Millisecond
)

// Tracker holds the recent usage of accounts as known to this box. It is safe for concurrent use.
// Set the exported fields before use. A nil Tracker records nothing, and no account is over its
// share.
type Tracker struct {
	Clock clockwork.Clock
	// Broadcast, if set, sends a note to all other boxes. It must not block.
	Broadcast func(note []byte)

	mu sync.Mutex
	// taken is the usage of each account, by the hash of its name, decayed to the time decayedAt.
	taken     map[uint32]float64
	decayedAt time.Time
	// shortUntil is when the shortage of capacity ends.
	shortUntil time.Time
	// pending holds the tokens for the next note, which coalescer sends.
	pending   map[uint32]int
	coalescer coalesce.Coalescer
}

// RecordTokens records tokens that this box placed on an engine for an account.
func (b *Tracker) RecordTokens(account string, tokens int) {
	if b == nil || tokens <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := keyOf(account)
	b.add(key, tokens)
	b.enqueue(key, tokens)
}

// RecordRefusal records that a caller was refused for lack of capacity. A refusal of an account
// over its share does not indicate a shortage, as others go first.
func (b *Tracker) RecordRefusal(account string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.exceedsShare(account) {
		return
	}
	b.shortUntil = b.Clock.Now().Add(shortageTime)
	b.enqueue(shortageKey, 1)
}

// ReceiveNote applies a note of another box. A note that can't be decoded completely is ignored.
func (b *Tracker) ReceiveNote(note []byte) {
	list, ok := decode(note)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range list {
		if e.key == shortageKey {
			b.shortUntil = b.Clock.Now().Add(shortageTime)
			continue
		}
		b.add(e.key, e.tokens)
	}
}

// OverShare reports whether capacity is short and the account exceeds its share.
func (b *Tracker) OverShare(account string) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Clock.Now().Before(b.shortUntil) && b.exceedsShare(account)
}

// exceedsShare reports whether an account exceeds its share. The lock must be held.
func (b *Tracker) exceedsShare(account string) bool {
	b.decay()
	total, sharers := 0.0, 0
	for _, tokens := range b.taken {
		total += tokens
		sharers++
	}
	return b.taken[keyOf(account)]*float64(sharers) > maxShareRatio*total
}

// shortageKey stands in notes for a shortage of capacity, and for no account.
const shortageKey = 0

// keyOf returns the key of an account in notes.
func keyOf(account string) uint32 { return max(uint32(xxhash.Sum64String(account)), shortageKey+1) }

// add adds tokens to an account. Accounts beyond maxAccounts are ignored. The lock must be held.
func (b *Tracker) add(key uint32, tokens int) {
	b.decay()
	if _, known := b.taken[key]; !known && len(b.taken) >= maxAccounts {
		return
	}
	b.taken[key] += float64(tokens)
}

// decay decays the counts to the present and drops accounts below minTokens. The lock must be held.
func (b *Tracker) decay() {
	now := b.Clock.Now()
	if b.taken == nil {
		b.taken = make(map[uint32]float64)
		b.decayedAt = now
	}
	since := now.Sub(b.decayedAt)
	if since <= 0 {
		return
	}
	b.decayedAt = now
	left := math.Exp(-since.Seconds() / decayTime.Seconds())
	for key := range b.taken {
		b.taken[key] *= left
		if b.taken[key] < minTokens {
			delete(b.taken, key)
		}
	}
}

// enqueue adds tokens to the next note. The lock must be held.
func (b *Tracker) enqueue(key uint32, tokens int) {
	if b.Broadcast == nil {
		return
	}
	if b.pending == nil {
		b.pending = make(map[uint32]int)
	}
	if _, known := b.pending[key]; !known && len(b.pending) >= maxNoteAccounts {
		return
	}
	b.pending[key] += tokens
	b.coalescer.Schedule(b.Clock, coalesceTime, b.send)
}

// send broadcasts the pending note.
func (b *Tracker) send() {
	b.mu.Lock()
	note := encode(b.pending)
	clear(b.pending)
	b.mu.Unlock()
	b.Broadcast(note)
}
