package quarantine

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/coalesce"
	"github.com/dalebend/dalebend/internal/fingerprint"
	"github.com/dalebend/dalebend/internal/telemetry"
)

const (
	// maxHistories bounds the crash histories of a box: a crashed server leaves one for each
	// request that it ran, two dozen, and users' fleets lose some servers in ten minutes. 200 KB.
	maxHistories = 1024
	// maxPerAccount bounds the histories of one account, so that an account that crashes servers
	// with ever new requests evicts only its own.
	maxPerAccount = maxHistories / 4
	// maxAttemptTime is the longest time for which a request with a crash history is kept from
	// other servers while one runs it: the box that sent it may have died. In users' fleets a
	// request that crashes servers does so within a second.
	maxAttemptTime = 10 * time.Second
	// attemptRetryAfter is when callers are told to retry meanwhile: about the time within which a
	// request that crashes its server does so.
	attemptRetryAfter = time.Second
)

// Tracker records the crash history of requests. It is safe for concurrent use. Set the exported
// fields before use. A nil Tracker refuses nothing and records nothing.
type Tracker struct {
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Box is the name of this box, sent in notes.
	Box string
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// Broadcast sends a note to all other boxes. It must not block.
	Broadcast func(note []byte)
	// Draw returns a random number from 0 to 1, and Boxes the number of live boxes; both spread
	// repeated notes over the boxes. Both may be nil.
	Draw  func() float64
	Boxes func() int
	// OnChange, if set, is called when a hold begins or ends. It must not block.
	OnChange func()

	// known is the number of histories, so that the check on the request path costs next to nothing
	// while there are none.
	known atomic.Int64

	mu         sync.Mutex
	histories  map[fingerprint.Fingerprint]*history
	perAccount map[string]int
	// held are the traits that are held, by what judge last decided.
	held map[fingerprint.Fingerprint]*blame
	// answered are requests that were answered, begun are segments of requests whose answers began.
	answered, begun answeredCache
	// unsent are the histories that go into the next note, and batch schedules it.
	unsent map[fingerprint.Fingerprint]*history
	batch  coalesce.Coalescer
}

// Empty reports whether there is no crash history.
func (b *Tracker) Empty() bool { return b == nil || b.known.Load() == 0 }

// Check returns a *RefusedError if no server gets the request, else nil.
func (b *Tracker) Check(q *Subject) error {
	if b.Empty() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if refused, _ := b.examine(q, b.Clock.Now()); refused != nil {
		return refused
	}
	return nil
}

// Begin asks whether the request may be sent to a server now. The error is a *RefusedError.
// Otherwise the caller reports to the Attempt how the exchange ended.
func (b *Tracker) Begin(q *Subject) (*Attempt, error) {
	if b == nil {
		return nil, nil
	}
	attempt := &Attempt{tracker: b, subject: *q}
	if b.Empty() {
		return attempt, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	refused, trial := b.examine(q, now)
	if refused != nil {
		return nil, refused
	}
	for _, t := range trial {
		if now.Before(t.triedUntil) {
			return nil, t.refused(attemptRetryAfter)
		}
	}
	for _, t := range trial {
		t.triedUntil = now.Add(maxAttemptTime)
		b.queueNote(t)
		attempt.trial = append(attempt.trial, t.fingerprint)
	}
	attempt.alone.Store(len(trial) > 0)
	return attempt, nil
}

func (t *history) refused(after time.Duration) *RefusedError {
	return &RefusedError{Fingerprint: t.fingerprint, Segment: t.segment.Hash, Servers: t.servers(), Source: t.source, RetryAfter: after}
}

// NumHeld returns the number of requests that are held, and NumSegmentsHeld that of prompt segments.
func (b *Tracker) NumHeld() int { return b.numHeld(false) }

// NumSegmentsHeld returns the number of prompt segments that are held.
func (b *Tracker) NumSegmentsHeld() int { return b.numHeld(true) }

func (b *Tracker) numHeld(segments bool) int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.held {
		if s.isSegment() == segments {
			n++
		}
	}
	return n
}

// recordEnd records that a server ended at a time while it ran the request.
func (b *Tracker) recordEnd(a *Attempt, at time.Time, server, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := &a.subject
	e := End{Server: server, At: at, Account: q.Account, Request: q.Fingerprint}
	if !b.answered.has(q.Fingerprint, at) {
		if t := b.getOrCreate(q.Fingerprint, q.Account); t != nil {
			b.addEnd(t, e, how)
		}
	}
	if !a.begun.Load() {
		q.segments(func(position int, f fingerprint.Fingerprint) bool {
			if !b.begun.has(f, at) {
				b.addSegmentEnd(q.segment(position), position, e, how)
			}
			return true
		})
	}
	b.judge()
}

// addSegmentEnd adds an end to the history of a segment. The lock must be held.
func (b *Tracker) addSegmentEnd(s Segment, position int, e End, how string) {
	t := b.getOrCreate(s.fingerprint(), e.Account)
	if t == nil {
		return
	}
	t.segment = s
	t.position = max(t.position, position)
	t.clear(b.begun.last(t.fingerprint))
	b.addEnd(t, e, how)
}

// addEnd adds an end that this box saw. The lock must be held.
func (b *Tracker) addEnd(t *history, e End, how string) {
	if !t.addEnd(e) {
		return
	}
	t.source = ""
	b.logEnd(t, how)
	b.queueNote(t)
}

// recordAnswer records a complete answer to the request, and that it was not a failure.
func (b *Tracker) recordAnswer(q *Subject, success bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	b.answered.add(q.Fingerprint, now)
	changed := b.clearKnown(q.Fingerprint, now)
	if success {
		changed = b.clearSegments(q, now) || changed
	}
	if changed {
		b.judge()
	}
}

// recordBegun records that an answer to the request has begun and that its server has not ended by that.
func (b *Tracker) recordBegun(q *Subject) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clearSegments(q, b.Clock.Now()) {
		b.judge()
	}
}

// clearSegments clears the histories of the request's segments, and reports whether there were any. The
// lock must be held.
func (b *Tracker) clearSegments(q *Subject, now time.Time) bool {
	changed := false
	q.segments(func(_ int, f fingerprint.Fingerprint) bool {
		b.begun.add(f, now)
		changed = b.clearKnown(f, now) || changed
		return true
	})
	return changed
}

// clearKnown clears a history that has ends, and reports whether there is one. The lock must be held.
func (b *Tracker) clearKnown(f fingerprint.Fingerprint, now time.Time) bool {
	t := b.histories[f]
	if t == nil || len(t.ends) == 0 {
		return false
	}
	b.clear(t, now, reasonAnswered)
	return true
}

// clear clears a history and sends that to the other boxes. The lock must be held.
func (b *Tracker) clear(t *history, at time.Time, reason string) {
	before := len(t.ends)
	if !t.clear(at) {
		return
	}
	b.queueNote(t)
	if before > 0 && len(t.ends) == 0 {
		b.logCleared(t, before, reason)
	}
}

// getOrCreate returns the history of a request, creating it if needed; nil if there is no capacity.
// The lock must be held.
func (b *Tracker) getOrCreate(f fingerprint.Fingerprint, account string) *history {
	if t := b.histories[f]; t != nil {
		return t
	}
	if (b.perAccount[account] >= maxPerAccount || len(b.histories) >= maxHistories) && !b.evict(account) {
		return nil
	}
	if b.histories == nil {
		b.histories = make(map[fingerprint.Fingerprint]*history)
		b.perAccount = make(map[string]int)
	}
	t := &history{fingerprint: f, account: account}
	b.histories[f] = t
	b.perAccount[account]++
	b.known.Store(int64(len(b.histories)))
	return t
}

// evict drops the least relevant history that is not held, among those of the account if it is at
// its bound, and reports whether there was one. The lock must be held.
func (b *Tracker) evict(account string) bool {
	own := b.perAccount[account] >= maxPerAccount
	var least *history
	for _, t := range b.histories {
		if (!own || t.account == account) && !t.full() && (least == nil || t.lessRelevantThan(least)) {
			least = t
		}
	}
	if least == nil {
		return false
	}
	b.drop(least)
	if n := len(least.ends); n > 0 {
		b.logCleared(least, n, reasonRoom)
	}
	return true
}

// lessRelevantThan reports whether a history is less worth keeping than another one: it has fewer
// ends, or as many and older ones.
func (t *history) lessRelevantThan(o *history) bool {
	if len(t.ends) != len(o.ends) {
		return len(t.ends) < len(o.ends)
	}
	if len(t.ends) == 0 {
		return t.cleared.Before(o.cleared)
	}
	return t.last().Before(o.last())
}

// drop removes a history. The lock must be held.
func (b *Tracker) drop(t *history) {
	delete(b.histories, t.fingerprint)
	delete(b.unsent, t.fingerprint)
	b.known.Store(int64(len(b.histories)))
	b.perAccount[t.account]--
	if b.perAccount[t.account] == 0 {
		delete(b.perAccount, t.account)
	}
}

// notifyChange calls OnChange.
func (b *Tracker) notifyChange() {
	if b.OnChange != nil {
		b.OnChange()
	}
}
