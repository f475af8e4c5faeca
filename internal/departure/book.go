package departure

import (
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Book is the servers that say that they leave. It is safe for concurrent use. Set the exported fields
// before use. A nil Book knows none.
type Book struct {
	Clock  clockwork.Clock
	Logger *slog.Logger

	mu      sync.Mutex
	servers map[string]*departure
}

// departure is the word of one start of a server that it leaves. It does not end but with the start.
type departure struct {
	server string
	// heard is when the server said so first, as far as is known, and source who told.
	heard  time.Time
	source string
}

// Answered takes an answer of a start of a server that says that it leaves.
func (b *Book) Answered(server string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.servers[server] == nil {
		b.add(&departure{server: server, heard: b.Clock.Now(), source: sourceAnswer})
	}
}

// Leaving returns the number of servers that say that they leave.
func (b *Book) Leaving() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.servers)
}

// Retain forgets the servers that are gone.
func (b *Book) Retain(known func(server string) bool) {
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
}

// add notes a server that is not known to leave. The lock must be held.
func (b *Book) add(d *departure) {
	if b.servers == nil {
		b.servers = make(map[string]*departure)
	}
	b.servers[d.server] = d
	b.leaves(d)
}
