package departure

import (
	"context"
	"log/slog"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// sourceAnswer is who told of a departure when no box did.
const sourceAnswer = "its answer"

// leaves tells of a server that leaves. The lock must be held.
func (b *Book) leaves(d *departure) {
	name := event.ServerLeaving
	b.Logger.LogAttrs(context.Background(), name.Level(), string(name),
		slog.String(event.KeyServer, d.server), slog.String(event.KeySource, d.source),
		slog.Int64(event.KeyAge, b.Clock.Since(d.heard).Milliseconds()))
}
