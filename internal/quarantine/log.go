package quarantine

import (
	"context"
	"log/slog"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/fingerprint"
)

// sourceStore is the source of an end that was read from the store.
const sourceStore = "store"

// Reasons for clearing a history.
const (
	reasonAnswered = "answered well"
	reasonPeer     = "cleared by another box"
	reasonLifted   = "lifted in the store"
	reasonAge      = "age"
	reasonRoom     = "room for newer ones"
	// reasonExplained is that of a held segment whose ends another one explains.
	reasonExplained = "another segment or request explains the ends"
)

// Values of the change label of the metric.
const (
	changeSuspected = "suspected"
	changeHeld      = "held"
	changeForgotten = "forgotten"
)

// logEnd logs that one more server ended under the request. The box that saw the end logs each;
// other boxes log only what is held, as hundreds of boxes learn of each end. Segments have no lines
// of their own before, as each crash leaves suspects by the dozen. The lock must be held.
func (b *Tracker) logEnd(t *history, how string) {
	t.how = how
	if t.source != "" || t.full() || t.isSegment() {
		return
	}
	b.Metrics.OrDiscard().QuarantineChanges.Inc(changeSuspected)
	b.log(event.RequestSuspected, t, slog.Any(event.KeyEnded, t.servers()), slog.String(event.KeySource, how))
}

// logJudged logs what is held now and was not before, and the reverse for segments; requests are not
// held any more when they are cleared, which is logged. The lock must be held.
func (b *Tracker) logJudged(before map[fingerprint.Fingerprint]*blame) {
	changed := len(before) != len(b.held)
	for f, s := range b.held {
		if before[f] == nil {
			changed = true
			b.Metrics.OrDiscard().QuarantineChanges.Inc(changeHeld)
			b.log(s.event(event.RequestHeld, event.SegmentHeld), s.history,
				slog.Any(event.KeyEnded, s.servers()), slog.String(event.KeySource, s.how))
		}
	}
	for f, s := range before {
		if b.held[f] == nil {
			changed = true
			if s.isSegment() && len(s.ends) > 0 {
				b.log(event.SegmentCleared, s.history, slog.Int(event.KeyFailures, len(s.ends)), slog.String(event.KeyReason, reasonExplained))
			}
		}
	}
	if changed {
		b.notifyChange()
	}
}

// logCleared logs that a history with this many ends no longer counts. The lock must be held.
func (b *Tracker) logCleared(t *history, ends int, reason string) {
	if t.isSegment() && ends < maxEnds {
		return
	}
	b.Metrics.OrDiscard().QuarantineChanges.Inc(changeForgotten)
	b.log(t.event(event.RequestCleared, event.SegmentCleared), t, slog.Int(event.KeyFailures, ends), slog.String(event.KeyReason, reason))
}

// event returns the event for the kind of history.
func (t *history) event(request, segment event.Name) event.Name {
	if t.isSegment() {
		return segment
	}
	return request
}

func (b *Tracker) log(name event.Name, t *history, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String(event.KeyFingerprint, t.fingerprint.String()))
	if t.isSegment() {
		attrs = append(attrs, slog.String(event.KeySegment, t.segment.Hash), slog.String(event.KeyService, t.segment.Service),
			slog.String(event.KeyModel, t.segment.Model))
	}
	if t.account != "" {
		attrs = append(attrs, slog.String(event.KeyAccount, t.account))
	}
	b.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}
