package serverlimit

import (
	"context"
	"time"

	"github.com/dalebend/dalebend/internal/coalesce"
	"github.com/dalebend/dalebend/internal/periodic"
)

const (
	// sendInterval is how often Run checks for limits to send or to forget.
	sendInterval = 100 * time.Millisecond
	// resendInterval is how often a limit in force is sent again, for boxes that have just started
	// or were partitioned.
	resendInterval = 1500 * time.Millisecond
	// endedRetention is how long the end of a limit is remembered: longer than boxes that missed it
	// take to send the limit once more.
	endedRetention = time.Minute
	// maxServers bounds the recorded servers: several times the number in users' fleets.
	maxServers = 4096
)

// Run sends limits to the other boxes, and forgets those that ended, until the context ends.
func (b *Tracker) Run(ctx context.Context) {
	periodic.Run(ctx, b.Clock, sendInterval, b.sendNotes)
}

func (b *Tracker) sendNotes() {
	for _, note := range b.notes() {
		b.Broadcast(note)
	}
}

// notes returns the notes that are due.
func (b *Tracker) notes() [][]byte {
	if b.known.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var due []*limit
	for _, l := range b.limits {
		switch {
		case !l.due.IsZero() && !now.Before(l.due):
			due = append(due, l)
			b.markSent(l)
		case !l.ended.IsZero() && !l.inForce() && now.Sub(l.ended) > endedRetention:
			b.drop(l)
		}
	}
	var notes [][]byte
	for len(due) > 0 {
		part := due[:min(len(due), maxPerNote)]
		due = due[len(part):]
		note, err := encode(b.Box, part, now)
		if err != nil {
			b.Logger.Error("cannot encode note about server limits", "error", err)
			continue
		}
		notes = append(notes, note)
	}
	return notes
}

// delay returns a random delay by which boxes avoid sending the same note at once.
func (b *Tracker) delay() time.Duration {
	return coalesce.UniformDelay(b.Draw(), len(b.Live()))
}

// markSent records that all boxes have been sent what is known here. The lock must be held.
func (b *Tracker) markSent(l *limit) {
	l.due = time.Time{}
	if l.inForce() {
		l.due = b.Clock.Now().Add(resendInterval + b.delay())
	}
}

// scheduleNote schedules a note so that one of the boxes that know of a limit sends it after its
// random delay. The lock must be held.
func (b *Tracker) scheduleNote(l *limit) {
	soon := b.Clock.Now().Add(b.delay())
	if l.due.IsZero() || soon.Before(l.due) {
		l.due = soon
	}
}

// ReceiveNote applies a note of another box. A note that cannot be parsed in full is ignored.
func (b *Tracker) ReceiveNote(note []byte) {
	box, limits, err := decode(note, b.Clock.Now())
	if err != nil {
		b.Logger.Warn("cannot decode note about server limits", "error", err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, received := range limits {
		if b.limits[received.server] != nil || len(b.limits) < maxServers {
			b.merge(received, box)
		}
	}
}

// merge applies what another box knows of a server. The lock must be held.
func (b *Tracker) merge(received *limit, box string) {
	l := b.getOrCreate(received.server)
	before := *l
	l.merge(received, b.Clock.Now())
	switch {
	case l.inForce() && (!before.inForce() || differ(l.logged, l.perSecond)):
		l.source = box
		b.logBegin(l)
	case before.inForce() && !l.inForce():
		b.logEnd(l, reasonPeer)
	}
	if before.newerThan(received) || l.changes > received.changes {
		b.scheduleNote(l)
		return
	}
	b.markSent(l)
}
