package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/coalesce"
	"github.com/dalebend/dalebend/internal/fingerprint"
	"github.com/dalebend/dalebend/internal/periodic"
)

const (
	// batchTime is how long histories are collected for one note: a crashed server leaves one for
	// each request that it ran, and callers retry after 0.1 s at the earliest.
	batchTime = 5 * time.Millisecond
	// tickInterval is how often Run looks for histories to send again or to expire.
	tickInterval = 250 * time.Millisecond
	// resendInterval is how often a history with two ends or more is sent again, for boxes that
	// were partitioned or have just started. They must learn of it within 3 s.
	resendInterval = 1500 * time.Millisecond
)

// Run expires old histories, and sends again what other boxes may have missed, until the context
// ends.
func (b *Tracker) Run(ctx context.Context) {
	periodic.Run(ctx, b.Clock, tickInterval, b.tick)
}

func (b *Tracker) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for _, t := range b.histories {
		if t.expired(now) {
			b.expire(t)
			continue
		}
		if !t.due.IsZero() && !now.Before(t.due) {
			b.queueNote(t)
		}
	}
	b.judge()
}

// expire drops an expired history. The lock must be held.
func (b *Tracker) expire(t *history) {
	ends := len(t.ends)
	b.drop(t)
	if ends > 0 {
		t.ends = nil
		b.logCleared(t, ends, reasonAge)
	}
}

// delay returns a random delay by which boxes avoid sending the same note at once.
func (b *Tracker) delay() time.Duration {
	if b.Draw == nil || b.Boxes == nil {
		return 0
	}
	return coalesce.UniformDelay(b.Draw(), b.Boxes())
}

// markSent records that all boxes have been sent what is known here, and schedules a repetition if
// a box that missed it could do harm. The lock must be held.
func (b *Tracker) markSent(t *history) {
	t.due = time.Time{}
	if len(t.ends) > 1 {
		t.due = b.Clock.Now().Add(resendInterval + b.delay())
	}
}

// scheduleNote records that another box knows less than this one, and schedules a note so that one
// of the boxes that know more sends it. The lock must be held.
func (b *Tracker) scheduleNote(t *history) {
	soon := b.Clock.Now().Add(b.delay())
	if t.due.IsZero() || soon.Before(t.due) {
		t.due = soon
	}
}

// queueNote adds a history to the next note. The lock must be held.
func (b *Tracker) queueNote(t *history) {
	b.markSent(t)
	if b.Broadcast == nil {
		return
	}
	if b.unsent == nil {
		b.unsent = make(map[fingerprint.Fingerprint]*history)
	}
	b.unsent[t.fingerprint] = t
	b.batch.Schedule(b.Clock, batchTime, b.send)
}

// send broadcasts the collected notes.
func (b *Tracker) send() {
	for _, note := range b.notes() {
		b.Broadcast(note)
	}
}

// notes returns the queued histories as notes, and empties the queue.
func (b *Tracker) notes() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var notes [][]byte
	var part []*history
	size := 0
	flush := func() {
		note, err := encode(b.Box, part, now)
		if err != nil {
			b.Logger.Error("cannot encode note about crash histories", "error", err)
		} else {
			notes = append(notes, note)
		}
		part, size = nil, 0
	}
	for _, t := range b.unsent {
		if more := t.wireBytes(); len(part) > 0 && (len(part) == maxPerNote || size+more > maxNoteBytes) {
			flush()
		}
		part = append(part, t)
		size += t.wireBytes()
	}
	if len(part) > 0 {
		flush()
	}
	clear(b.unsent)
	return notes
}

// ReceiveNote applies a note of another box. A note that cannot be parsed in full is ignored.
func (b *Tracker) ReceiveNote(note []byte) {
	box, histories, err := decode(note, b.Clock.Now())
	if err != nil {
		b.Logger.Warn("cannot decode note about crash histories", "error", err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range histories {
		b.merge(t, box)
	}
	b.judge()
}

// merge applies what another box or the store knows of a request or segment. The ends of both count,
// except those that either knows to be cleared. The lock must be held.
func (b *Tracker) merge(received *history, source string) {
	now := b.Clock.Now()
	if b.histories[received.fingerprint] == nil && (received.expired(now) || len(received.ends) == 0) {
		return
	}
	t := b.getOrCreate(received.fingerprint, received.account)
	if t == nil {
		return
	}
	t.segment, t.position = received.segment, max(t.position, received.position)
	if b.goodCache(t).has(t.fingerprint, now) && len(received.ends) > 0 {
		b.clearAnswered(t, now)
		return
	}
	b.mergeClear(t, received.cleared)
	b.mergeEnds(t, received, source)
	if received.lacksEndsOf(t) || t.knownGood(now) && !received.knownGood(now) {
		b.scheduleNote(t)
		return
	}
	b.markSent(t)
}

// mergeEnds adds the ends that another box knows. The lock must be held.
func (b *Tracker) mergeEnds(t, received *history, source string) {
	if t.isSegment() {
		t.clear(b.begun.last(t.fingerprint))
	}
	grown := false
	for _, e := range received.ends {
		grown = t.addEnd(e) || grown
	}
	t.triedUntil = received.triedUntil
	if grown {
		t.source = source
		b.logEnd(t, source)
	}
}

// goodCache returns the memory of answers that shows that servers bear a request or segment.
func (b *Tracker) goodCache(t *history) *answeredCache {
	if t.isSegment() {
		return &b.begun
	}
	return &b.answered
}

// lacksEndsOf reports whether the received history lacks ends of another one, or has cleared ones.
func (t *history) lacksEndsOf(than *history) bool {
	cleared := slices.ContainsFunc(t.ends, func(e End) bool { return !e.At.After(than.cleared) })
	return cleared || len(t.ends) < len(than.ends)
}

// mergeClear applies the time at which another box cleared the history. The lock must be held.
func (b *Tracker) mergeClear(t *history, at time.Time) {
	before := len(t.ends)
	if at.IsZero() || !t.clear(at) {
		return
	}
	if before > 0 && len(t.ends) == 0 {
		b.logCleared(t, before, reasonPeer)
	}
}

// clearAnswered clears a request or segment of which another box sent a history although it was just
// answered here. One of the boxes that know of the answer sends this after a random delay, as hundreds
// may know. The lock must be held.
func (b *Tracker) clearAnswered(t *history, now time.Time) {
	before := len(t.ends)
	if t.clear(now) {
		b.scheduleNote(t)
	}
	if before > 0 {
		b.logCleared(t, before, reasonAnswered)
	}
}
