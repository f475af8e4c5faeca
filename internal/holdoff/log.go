package holdoff

import (
	"context"
	"log/slog"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// Reasons for the end of a hold-off.
const (
	reasonAnswered = "it answered"
	reasonGone     = "the server is gone"
)

// logBegin logs that a server asks to hold off. The lock must be held.
func (b *Tracker) logBegin(p *period) {
	b.log(event.ServerHeldOff, slog.String(event.KeyServer, p.server),
		slog.Int64(event.KeyRetryAfter, p.requested.Milliseconds()))
}

// logEnd logs that a hold-off has ended. The lock must be held.
func (b *Tracker) logEnd(p *period, reason string) {
	b.log(event.ServerResumed, slog.String(event.KeyServer, p.server),
		slog.Int64(event.KeyAway, b.Clock.Since(p.since).Milliseconds()), slog.String(event.KeyReason, reason))
}

func (b *Tracker) log(name event.Name, attrs ...slog.Attr) {
	b.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}
