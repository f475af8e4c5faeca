package serverlimit

import (
	"context"
	"log/slog"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// sourceAnswer is the source of a limit that this box read from an answer.
const sourceAnswer = "its answer"

// Reasons for the end of a limit.
const (
	reasonAnswers = "its answers name none"
	reasonPeer    = "another box was told so"
	reasonGone    = "the server is gone"
)

// logBegin logs a limit that begins or changes. The lock must be held.
func (b *Tracker) logBegin(l *limit) {
	l.logged = l.perSecond
	b.Metrics.OrDiscard().ServerLimit.Set(l.perSecond, l.server)
	b.log(event.ServerLimited, slog.String(event.KeyServer, l.server),
		slog.Float64(event.KeyPerSecond, l.perSecond), slog.String(event.KeySource, l.source))
}

// logEnd logs a limit that has ended. The lock must be held.
func (b *Tracker) logEnd(l *limit, reason string) {
	b.Metrics.OrDiscard().ServerLimit.Remove(l.server)
	b.Metrics.OrDiscard().ServerLimitShare.Remove(l.server)
	b.log(event.ServerUnlimited, slog.String(event.KeyServer, l.server),
		slog.Int64(event.KeyAway, b.Clock.Since(l.since).Milliseconds()), slog.String(event.KeyReason, reason))
}

func (b *Tracker) log(name event.Name, attrs ...slog.Attr) {
	b.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}
