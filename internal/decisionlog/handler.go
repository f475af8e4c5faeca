package decisionlog

import (
	"context"
	"log/slog"
)

// handler makes a Log usable by slog. The record's message is the event's name.
type handler struct {
	log    *Log
	render slog.Handler
}

// Enabled reports whether lines of the level are written.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.log.Level
}

// Handle queues a line. It returns no error: dropped lines are reported in the log.
func (h *handler) Handle(_ context.Context, r slog.Record) error {
	r.Time = h.log.clock.Now()
	h.log.write(h.render, r)
	return nil
}

// WithAttrs returns a handler that adds the attributes to each line.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{log: h.log, render: h.render.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts later attributes into a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{log: h.log, render: h.render.WithGroup(name)}
}
