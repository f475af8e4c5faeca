package brittle

import (
	"context"
	"log/slog"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

func (b *Tracker) logBegin(id string, s *server) {
	b.log(event.ServerBrittle, slog.String(event.KeyServer, id), slog.Float64(event.KeyPerSecond, s.perSecond))
}

func (b *Tracker) logEnd(id string, s *server) {
	b.log(event.ServerSturdy, slog.String(event.KeyServer, id), slog.Int64(event.KeyAway, b.Clock.Since(s.since).Milliseconds()))
}

func (b *Tracker) log(name event.Name, attrs ...slog.Attr) {
	b.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}
