package departure

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// sourceAnswer is the source of a departure that this box read from an answer.
const sourceAnswer = "its answer"

// logLeaving logs that a server leaves. The lock must be held.
func (b *Tracker) logLeaving(d *departure) {
	name := event.ServerLeaving
	b.Logger.LogAttrs(context.Background(), name.Level(), string(name),
		slog.String(event.KeyServer, d.server), slog.String(event.KeySource, d.source),
		slog.Int64(event.KeyAge, b.Clock.Since(d.reportedAt).Milliseconds()))
}

// Describe returns a text that names the leaving server, the source of that and its age; empty if
// the server is not known to leave.
func (b *Tracker) Describe(server string) string {
	if b == nil {
		return ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.servers[server]
	if d == nil {
		return ""
	}
	return fmt.Sprintf("%s leaves, as %s said %v ago", server, d.source, b.Clock.Since(d.reportedAt).Round(time.Millisecond))
}
