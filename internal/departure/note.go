package departure

import (
	"fmt"
	"time"

	"github.com/dalebend/dalebend/internal/note"
)

const (
	// maxPerNote bounds the servers in one note, which at 40 bytes each fit into a datagram.
	maxPerNote = 64
	// maxAge is the maximum age in a note; higher ages are clamped to it.
	maxAge = time.Hour
)

// noteWire is the encoding of a note after its tag.
type noteWire struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Box is the sender.
	Box     string
	Servers []serverWire
}

// serverWire is the encoding of a leaving server instance.
type serverWire struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Server string
	// AgeMs is the time since the server reported that it leaves.
	AgeMs int64
}

// IsNote reports whether a note belongs to this package.
func IsNote(data []byte) bool { return note.Departure.Matches(data) }

// encode returns a note from box about some servers.
func encode(box string, servers []*departure, now time.Time) ([]byte, error) {
	n := noteWire{Box: box, Servers: make([]serverWire, 0, len(servers))}
	for _, d := range servers {
		n.Servers = append(n.Servers, serverWire{Server: d.server, AgeMs: note.AgeMs(d.reportedAt, now)})
	}
	return note.Departure.Encode(&n)
}

// decode parses a note.
func decode(data []byte, now time.Time) ([]*departure, error) {
	var n noteWire
	if err := note.Departure.Decode(data, &n); err != nil {
		return nil, err
	}
	if len(n.Servers) > maxPerNote {
		return nil, fmt.Errorf("too many servers in a note: %d", len(n.Servers))
	}
	servers := make([]*departure, 0, len(n.Servers))
	for _, w := range n.Servers {
		if w.Server == "" || w.AgeMs < 0 {
			return nil, fmt.Errorf("invalid server %.40q with age %d ms in a note", w.Server, w.AgeMs)
		}
		servers = append(servers, &departure{server: w.Server, reportedAt: note.TimeFromAge(now, w.AgeMs, maxAge), source: n.Box})
	}
	return servers, nil
}
