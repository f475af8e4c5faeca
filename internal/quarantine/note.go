package quarantine

import (
	"fmt"
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
	"github.com/dalebend/dalebend/internal/note"
)

const (
	// maxPerNote bounds the histories in one note, and maxNoteBytes its size, so that it fits into a
	// datagram. A history of a request has some 90 bytes, one of a segment up to 380.
	maxPerNote   = 64
	maxNoteBytes = 6 << 10
)

// noteWire is the encoding of a note after its tag. Boxes of older versions ignore elements that they
// do not know.
type noteWire struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Box is the sender.
	Box      string
	Trails   []trailWire
	Segments []segmentWire
}

// trailWire is the encoding of a history. Times are ages because the clocks of boxes differ.
type trailWire struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Fingerprint uint64
	Account     string
	// Servers are the server instances that ended, EndAgesMs the time since each did.
	Servers   []string
	EndAgesMs []int64
	// ClearedAgeMs is the time since the history was cleared, -1 for never.
	ClearedAgeMs int64
	// TriedForMs is how much longer a server may be running the request.
	TriedForMs int64
}

// segmentWire is the encoding of the history of a prompt segment.
type segmentWire struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service, Model, Hash string
	Position             int
	// Accounts and Requests are those under which the servers of the history ended, in its order.
	Accounts []string
	Requests []uint64
	History  trailWire
}

// IsNote reports whether a note belongs to this package.
func IsNote(data []byte) bool { return note.Quarantine.Matches(data) }

// encode returns a note from box about some histories.
func encode(box string, histories []*history, now time.Time) ([]byte, error) {
	n := noteWire{Box: box, Trails: make([]trailWire, 0, len(histories))}
	for _, t := range histories {
		if t.isSegment() {
			n.Segments = append(n.Segments, t.segmentWire(now))
			continue
		}
		n.Trails = append(n.Trails, t.wire(now))
	}
	return note.Quarantine.Encode(&n)
}

// wireBytes returns at least the size of the encoded history.
func (t *history) wireBytes() int {
	const ownBytes, endBytes = 64, 32
	n := ownBytes + len(t.account) + len(t.segment.Service) + len(t.segment.Model) + len(t.segment.Hash)
	for _, e := range t.ends {
		n += endBytes + len(e.Server) + len(e.Account)
	}
	return n
}

func (t *history) wire(now time.Time) trailWire {
	w := trailWire{Fingerprint: uint64(t.fingerprint), Account: t.account, ClearedAgeMs: note.AgeMs(t.cleared, now)}
	for _, e := range t.ends {
		w.Servers = append(w.Servers, e.Server)
		w.EndAgesMs = append(w.EndAgesMs, note.AgeMs(e.At, now))
	}
	w.TriedForMs = max(0, t.triedUntil.Sub(now).Milliseconds())
	return w
}

func (t *history) segmentWire(now time.Time) segmentWire {
	w := segmentWire{
		Service: t.segment.Service, Model: t.segment.Model, Hash: t.segment.Hash, Position: t.position, History: t.wire(now),
	}
	for _, e := range t.ends {
		w.Accounts = append(w.Accounts, e.Account)
		w.Requests = append(w.Requests, uint64(e.Request))
	}
	return w
}

// decode parses a note, and returns its sender and histories.
func decode(data []byte, now time.Time) (box string, histories []*history, err error) {
	var n noteWire
	if err := note.Quarantine.Decode(data, &n); err != nil {
		return "", nil, err
	}
	if len(n.Trails)+len(n.Segments) > maxPerNote {
		return "", nil, fmt.Errorf("too many histories in a note: %d", len(n.Trails)+len(n.Segments))
	}
	for i := range n.Trails {
		t, err := n.Trails[i].history(now, maxEnds)
		if err != nil {
			return "", nil, err
		}
		histories = append(histories, t)
	}
	for i := range n.Segments {
		t, err := n.Segments[i].history(now)
		if err != nil {
			return "", nil, err
		}
		histories = append(histories, t)
	}
	return n.Box, histories, nil
}

func (w *segmentWire) history(now time.Time) (*history, error) {
	t, err := w.History.history(now, maxSegmentEnds)
	if err != nil {
		return nil, err
	}
	if len(w.Accounts) != len(t.ends) || len(w.Requests) != len(t.ends) || w.Position < 0 {
		return nil, fmt.Errorf("history of a segment with %d ends, %d accounts, %d requests and position %d",
			len(t.ends), len(w.Accounts), len(w.Requests), w.Position)
	}
	t.segment = Segment{Service: w.Service, Model: w.Model, Hash: w.Hash}
	t.position = w.Position
	t.fingerprint = t.segment.fingerprint()
	for i := range t.ends {
		t.ends[i].Account = w.Accounts[i]
		t.ends[i].Request = fingerprint.Fingerprint(w.Requests[i])
	}
	return t, nil
}

func (w *trailWire) history(now time.Time, most int) (*history, error) {
	if len(w.Servers) != len(w.EndAgesMs) || len(w.Servers) > most {
		return nil, fmt.Errorf("history of %d servers and %d ages", len(w.Servers), len(w.EndAgesMs))
	}
	t := &history{fingerprint: fingerprint.Fingerprint(w.Fingerprint), account: w.Account}
	t.cleared = note.TimeFromAge(now, w.ClearedAgeMs, holdTime)
	for i, server := range w.Servers {
		at := note.TimeFromAge(now, max(w.EndAgesMs[i], 0), holdTime)
		t.ends = append(t.ends, End{Server: server, At: at, Account: w.Account, Request: t.fingerprint})
	}
	if w.TriedForMs > 0 {
		t.triedUntil = now.Add(time.Duration(min(maxAttemptTime.Milliseconds(), w.TriedForMs)) * time.Millisecond)
	}
	return t, nil
}
