package decisionlog

import (
	"log/slog"
	"slices"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// leadingKeys are the keys that come first in a line, so that a line that is cut still tells which
// request and which server it is about.
var leadingKeys = [...]string{event.KeyRequest, event.KeyServer}

// ordered returns the record with the leading keys first.
func ordered(r slog.Record) slog.Record {
	var lead [len(leadingKeys)]slog.Attr
	found, inOrder, n := 0, true, 0
	r.Attrs(func(a slog.Attr) bool {
		if i := slices.Index(leadingKeys[:], a.Key); i >= 0 {
			lead[i] = a
			inOrder = inOrder && n == found
			found++
		}
		n++
		return true
	})
	if found == 0 || inOrder && found == 1 {
		return r
	}
	attrs := make([]slog.Attr, 0, n)
	for _, a := range lead {
		if a.Key != "" {
			attrs = append(attrs, a)
		}
	}
	r.Attrs(func(a slog.Attr) bool {
		if !slices.Contains(leadingKeys[:], a.Key) {
			attrs = append(attrs, a)
		}
		return true
	})
	out := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	out.AddAttrs(attrs...)
	return out
}
