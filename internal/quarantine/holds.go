package quarantine

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

// Hold is a held request or prompt segment, as stored in the platform's store.
type Hold struct {
	Fingerprint fingerprint.Fingerprint
	Account     string
	// Servers are the server instances that ended under it.
	Servers []string
	// Since is the wall clock time at which the last of them ended.
	Since time.Time
	// Segment is empty for a request. Ends tell more of the servers of a segment.
	Segment Segment
	Ends    []End
}

// Holds returns the requests and prompt segments that are held.
func (b *Tracker) Holds() []Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	var holds []Hold
	for _, s := range b.held {
		h := Hold{Fingerprint: s.fingerprint, Account: s.account, Servers: s.servers(), Since: s.last(), Segment: s.segment}
		if s.isSegment() {
			h.Ends = slices.Clone(s.ends)
		}
		holds = append(holds, h)
	}
	return holds
}

// history returns the history that a stored hold stands for. No end is in the future: the clock of the
// box that wrote it may be ahead.
func (h *Hold) history(now time.Time) *history {
	t := &history{fingerprint: h.Fingerprint, account: h.Account, segment: h.Segment}
	ahead := max(0, h.Since.Sub(now))
	if t.isSegment() {
		for _, e := range h.Ends {
			e.At = e.At.Add(-ahead)
			t.addEnd(e)
		}
		return t
	}
	for _, server := range h.Servers {
		t.addEnd(End{Server: server, At: h.Since.Add(-ahead), Account: h.Account, Request: h.Fingerprint})
	}
	return t
}

// ApplyHold applies a hold read from the store, unless it has expired or was cleared since.
func (b *Tracker) ApplyHold(h Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stored := h.history(b.Clock.Now())
	if !stored.full() || stored.expired(b.Clock.Now()) {
		return
	}
	isNew := b.held[h.Fingerprint] == nil
	b.merge(stored, sourceStore)
	b.judge()
	if s := b.held[h.Fingerprint]; isNew && s != nil {
		b.queueNote(s.history)
	}
}

// MayHold reports whether so many servers ended under a request or segment, without an answer since, that
// it is held unless others explain that.
func (b *Tracker) MayHold(f fingerprint.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.histories[f]
	return t != nil && t.full()
}

// Lift ends the hold of a request or segment that has been removed from the store, by an operator or by a
// box at which it was cleared.
func (b *Tracker) Lift(f fingerprint.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.histories[f]; t != nil {
		b.clear(t, b.Clock.Now(), reasonLifted)
		b.judge()
	}
}
