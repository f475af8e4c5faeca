package departure

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Servers are the backend servers that a box knows, by instance.
type Servers interface {
	// Decline stops new work for servers.
	Decline(ids ...string)
	// Stays reports whether a server would get new work, by its entry alone, if it had not reported
	// that it leaves.
	Stays(id string) bool
}

// Tracker records the servers that reported that they leave. It is safe for concurrent use. Set the
// exported fields before use. A nil Tracker knows none.
type Tracker struct {
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Servers is notified of each leaving server.
	Servers Servers
	// Box is the name of this box; Live returns the names of the live boxes, including this one.
	Box  string
	Live func() []string
	// Broadcast sends a note to all other boxes. It must not block.
	Broadcast func(note []byte)
	// OnLeaving, if set, is called with each server that is new here, and with who told of it. It must not
	// call the Tracker.
	OnLeaving func(server, source string)
	// Draw returns a random number from 0 to 1, by which live boxes spread their notes.
	Draw func() float64

	// known is the number of servers, so that the check on the request path costs next to nothing
	// while there are none.
	known atomic.Int64

	mu      sync.Mutex
	servers map[string]*departure
	// due is when this box sends its next note.
	due time.Time
}

// departure records that one server instance leaves. It ends only with the instance.
type departure struct {
	server string
	// reportedAt is when the server first reported it, as far as is known; source is where this box
	// learned it from.
	reportedAt time.Time
	source     string
	// sent is when any box last sent it to all others, zero for never.
	sent time.Time
}

// RecordAnswer records an answer of a server instance that reports that it leaves.
func (b *Tracker) RecordAnswer(server string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.servers[server] != nil {
		return
	}
	b.add(&departure{server: server, reportedAt: b.Clock.Now(), source: sourceAnswer})
	b.scheduleNote()
}

// IsLeaving reports whether a server reported that it leaves.
func (b *Tracker) IsLeaving(server string) bool {
	if b == nil || b.known.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servers[server] != nil
}

// NumLeaving returns the number of servers that reported that they leave.
func (b *Tracker) NumLeaving() int { return int(b.known.Load()) }

// Retain drops the state of servers that are gone.
func (b *Tracker) Retain(known func(server string) bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for server := range b.servers {
		if !known(server) {
			delete(b.servers, server)
		}
	}
	b.known.Store(int64(len(b.servers)))
}

// add records a server that was not known to leave. The lock must be held.
func (b *Tracker) add(d *departure) {
	if b.servers == nil {
		b.servers = make(map[string]*departure)
	}
	b.servers[d.server] = d
	b.known.Store(int64(len(b.servers)))
	b.Servers.Decline(d.server)
	b.logLeaving(d)
	if b.OnLeaving != nil {
		b.OnLeaving(d.server, d.source)
	}
}
