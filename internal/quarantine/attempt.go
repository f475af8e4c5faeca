package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

// Attempt is one run of a request at one server. Exactly one of RecordAnswer, RecordFailure,
// RecordServerEnd and Release is called when that ends; RecordServerEnd may also follow Release. A nil
// Attempt records nothing.
type Attempt struct {
	tracker *Tracker
	subject Subject
	// trial are the traits for which no other server gets a request meanwhile, and alone is set while
	// that is so.
	trial []fingerprint.Fingerprint
	alone atomic.Bool
	// begun is set once an answer has begun.
	begun atomic.Bool
	// released is when Release was called, zero before.
	released time.Time
}

// Suspected reports whether servers ended under the request or under others with one of its segments.
func (t *Attempt) Suspected() bool {
	if t == nil || t.tracker.Empty() {
		return false
	}
	b := t.tracker
	b.mu.Lock()
	defer b.mu.Unlock()
	suspected := false
	look := func(f fingerprint.Fingerprint) bool {
		known := b.histories[f]
		suspected = suspected || known != nil && len(known.ends) > 0
		return !suspected
	}
	if look(t.subject.Fingerprint) {
		t.subject.segments(func(_ int, f fingerprint.Fingerprint) bool { return look(f) })
	}
	return suspected
}

// RecordBegun records that the answer has begun and that the server has not ended by that. What the
// prompt has in common with others is thereby cleared.
func (t *Attempt) RecordBegun() {
	if t == nil || t.begun.Swap(true) {
		return
	}
	t.tracker.recordBegun(&t.subject)
	t.settle()
}

// RecordAnswer records that the server has completed its answer, so that the request did not crash
// it.
func (t *Attempt) RecordAnswer() {
	if t == nil {
		return
	}
	t.tracker.recordAnswer(&t.subject, true)
	t.settle()
}

// RecordFailure records that the server has completed its answer, and that it reports a failure. The
// request did not crash it, but may not have come to where its prompt would.
func (t *Attempt) RecordFailure() {
	if t == nil {
		return
	}
	t.tracker.recordAnswer(&t.subject, false)
	t.settle()
}

// RecordServerEnd records that the server ended while it ran the request, and how that was
// detected.
func (t *Attempt) RecordServerEnd(server, how string) {
	if t == nil {
		return
	}
	at := t.released
	if at.IsZero() {
		at = t.tracker.Clock.Now()
	}
	t.tracker.recordEnd(t, at, server, how)
	t.settle()
}

// Release records an end of the exchange that is no evidence about the request.
func (t *Attempt) Release() {
	if t == nil {
		return
	}
	t.released = t.tracker.Clock.Now()
	t.settle()
}

// settle allows such requests to be sent to other servers.
func (t *Attempt) settle() {
	if !t.alone.Swap(false) {
		return
	}
	b := t.tracker
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range t.trial {
		if known := b.histories[f]; known != nil && !known.triedUntil.IsZero() {
			known.triedUntil = time.Time{}
			b.queueNote(known)
		}
	}
}
