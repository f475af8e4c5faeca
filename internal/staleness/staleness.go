// Package staleness reports the versions and the age of the state that a box decides by, for the
// lines of its decision log.
package staleness

import (
	"log/slog"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/storerev"
)

// State is the versions that a box holds, and their age.
type State struct {
	// ConfigVersion is the configuration version in force, 0 before the first.
	ConfigVersion int64
	// ViewRevision is the revision of the view of the backend servers.
	ViewRevision storerev.Revision
	// Age is the time since both were last known to be current: since this box or a live peer was
	// in contact with the store. It is negative before that.
	Age time.Duration
}

// Source returns the current state. A nil Source adds nothing.
type Source func() State

// Age returns State.Age, negative for a nil Source.
func (s Source) Age() time.Duration {
	if s == nil {
		return -1
	}
	return s().Age
}

// Append adds the versions and the age of the view to the attributes of a line.
func (s Source) Append(attrs []slog.Attr) []slog.Attr {
	if s == nil {
		return attrs
	}
	now := s()
	attrs = append(attrs,
		slog.Int64(event.KeyConfigVersion, now.ConfigVersion),
		slog.Int64(event.KeyViewRevision, now.ViewRevision.Number()))
	return now.appendAge(attrs, event.KeyViewAge)
}

// AppendView adds the revision and the age of the view.
func (s Source) AppendView(attrs []slog.Attr) []slog.Attr {
	if s == nil {
		return attrs
	}
	now := s()
	attrs = append(attrs, slog.Int64(event.KeyViewRevision, now.ViewRevision.Number()))
	return now.appendAge(attrs, event.KeyViewAge)
}

// AppendViewAge adds the age of the view.
func (s Source) AppendViewAge(attrs []slog.Attr) []slog.Attr {
	if s == nil {
		return attrs
	}
	return s().appendAge(attrs, event.KeyViewAge)
}

// AppendConfigAge adds the age of the configuration.
func (s Source) AppendConfigAge(attrs []slog.Attr) []slog.Attr {
	if s == nil {
		return attrs
	}
	return s().appendAge(attrs, event.KeyConfigAge)
}

func (s State) appendAge(attrs []slog.Attr, key string) []slog.Attr {
	if s.Age < 0 {
		return attrs
	}
	return append(attrs, slog.Int64(key, s.Age.Milliseconds()))
}
