// Package logging makes the logger of a process.
package logging

import (
	"fmt"
	"io"
	"log/slog"
)

// New returns a logger that writes "text" or "json" lines from a level on.
func New(w io.Writer, format, level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	opts := &slog.HandlerOptions{Level: l}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, opts)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	default:
		return nil, fmt.Errorf("log format %q is neither text nor json", format)
	}
}

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
