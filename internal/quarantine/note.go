package quarantine

import (
	"bytes"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

// tag is the first byte of a note, which tells it from notes of other packages. A box of a version
// that does not know it takes the note for a change of a view that cannot be read, and goes on.
const tag = 0xc3

// mostTold bounds the trails of one note, which fits into a datagram with them: 90 bytes each.
const mostTold = 64

// noteWire is a note behind its tag.
type noteWire struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Box tells.
	Box    string
	Trails []trailWire
}

// trailWire is a trail as a note tells it. Times are ages, as clocks of boxes differ.
type trailWire struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Fingerprint uint64
	Account     string
	// Servers are the starts of servers that ended, EndAgesMs the time since each did.
	Servers   []string
	EndAgesMs []int64
	// ClearedAgeMs is the time since the request was cleared, -1 for never.
	ClearedAgeMs int64
	// TriedForMs is how much longer a server may be trying the request.
	TriedForMs int64
}

// IsNote reports whether a note is one of this package.
func IsNote(note []byte) bool { return len(note) > 0 && note[0] == tag }

// encode returns the note by which a box tells of some trails.
func encode(box string, trails []*trail, now time.Time) ([]byte, error) {
	note := noteWire{Box: box, Trails: make([]trailWire, 0, len(trails))}
	for _, t := range trails {
		note.Trails = append(note.Trails, t.wire(now))
	}
	buf := bytes.NewBuffer([]byte{tag})
	enc := msgpack.NewEncoder(buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(&note); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func (t *trail) wire(now time.Time) trailWire {
	w := trailWire{Fingerprint: uint64(t.fingerprint), Account: t.account, ClearedAgeMs: -1}
	for _, e := range t.ends {
		w.Servers = append(w.Servers, e.server)
		w.EndAgesMs = append(w.EndAgesMs, now.Sub(e.at).Milliseconds())
	}
	if !t.cleared.IsZero() {
		w.ClearedAgeMs = now.Sub(t.cleared).Milliseconds()
	}
	w.TriedForMs = max(0, t.triedUntil.Sub(now).Milliseconds())
	return w
}

// decode reads a note as trails, and the box that tells of them.
func decode(data []byte, now time.Time) (box string, trails []*trail, err error) {
	var note noteWire
	if err := msgpack.Unmarshal(data[1:], &note); err != nil {
		return "", nil, err
	}
	if len(note.Trails) > mostTold {
		return "", nil, fmt.Errorf("%d trails in a note", len(note.Trails))
	}
	for i := range note.Trails {
		t, err := note.Trails[i].trail(now)
		if err != nil {
			return "", nil, err
		}
		trails = append(trails, t)
	}
	return note.Box, trails, nil
}

func (w *trailWire) trail(now time.Time) (*trail, error) {
	if len(w.Servers) != len(w.EndAgesMs) || len(w.Servers) > mostEnds {
		return nil, fmt.Errorf("trail of %d servers and %d ages", len(w.Servers), len(w.EndAgesMs))
	}
	t := &trail{fingerprint: fingerprint.Fingerprint(w.Fingerprint), account: w.Account}
	if w.ClearedAgeMs >= 0 {
		t.cleared = ago(now, w.ClearedAgeMs)
	}
	for i, server := range w.Servers {
		t.ends = append(t.ends, end{server: server, at: ago(now, w.EndAgesMs[i])})
	}
	if w.TriedForMs > 0 {
		t.triedUntil = now.Add(min(tryFor, time.Duration(w.TriedForMs)*time.Millisecond))
	}
	return t, nil
}

// ago returns the time before now, an hour at most and never later.
func ago(now time.Time, ageMs int64) time.Time {
	age := time.Duration(min(max(ageMs, 0), holdFor.Milliseconds())) * time.Millisecond
	return now.Add(-age)
}
