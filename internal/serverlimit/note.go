package serverlimit

import (
	"fmt"
	"math"
	"time"

	"github.com/dalebend/dalebend/internal/note"
)

const (
	// maxPerNote bounds the servers in one note, which at 60 bytes each fit into a datagram.
	maxPerNote = 64
	// maxChanges is the maximum count of changes in a note: one per millisecond for a day.
	maxChanges = 86_400_000
	// maxAge is the maximum age in a note; higher ages are clamped to it.
	maxAge = time.Hour
)

// noteWire is the encoding of a note after its tag.
type noteWire struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Box is the sender.
	Box    string
	Limits []limitWire
}

// limitWire is the encoding of a limit. Times are ages because the clocks of boxes differ.
type limitWire struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Server is the id of a server instance.
	Server    string
	PerSecond float64
	// Changes is how often the limit began or ended.
	Changes int64
	// SinceAgeMs and NamedAgeMs are the times since the server began to name limits and since it
	// last did, -1 for never.
	SinceAgeMs, NamedAgeMs int64
}

// IsNote reports whether a note belongs to this package.
func IsNote(data []byte) bool { return note.ServerLimit.Matches(data) }

// encode returns a note from box about some limits.
func encode(box string, limits []*limit, now time.Time) ([]byte, error) {
	n := noteWire{Box: box, Limits: make([]limitWire, 0, len(limits))}
	for _, l := range limits {
		n.Limits = append(n.Limits, limitWire{
			Server: l.server, PerSecond: l.perSecond, Changes: l.changes,
			SinceAgeMs: note.AgeMs(l.since, now), NamedAgeMs: note.AgeMs(l.named, now),
		})
	}
	return note.ServerLimit.Encode(&n)
}

// decode parses a note, and returns its sender and limits.
func decode(data []byte, now time.Time) (box string, limits []*limit, err error) {
	var n noteWire
	if err := note.ServerLimit.Decode(data, &n); err != nil {
		return "", nil, err
	}
	if len(n.Limits) > maxPerNote {
		return "", nil, fmt.Errorf("too many limits in a note: %d", len(n.Limits))
	}
	for i := range n.Limits {
		w := &n.Limits[i]
		if math.IsNaN(w.PerSecond) || math.IsInf(w.PerSecond, 0) || w.PerSecond < 0 {
			return "", nil, fmt.Errorf("invalid limit %v in a note", w.PerSecond)
		}
		if w.Changes < 0 || w.Changes > maxChanges {
			return "", nil, fmt.Errorf("invalid number of changes %d in a note", w.Changes)
		}
		limits = append(limits, &limit{
			server: w.Server, perSecond: w.PerSecond, changes: w.Changes,
			since: note.TimeFromAge(now, w.SinceAgeMs, maxAge), named: note.TimeFromAge(now, w.NamedAgeMs, maxAge),
		})
	}
	return n.Box, limits, nil
}
