package holdoff

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/telemetry"
)

// Tracker records the servers that asked this box to hold off. It is safe for concurrent use; reads
// take no lock. Set the exported fields before use. A nil Tracker knows none.
type Tracker struct {
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// Draw returns a random number from 0 to 1, by which boxes and refused callers spread their
	// retries.
	Draw func() float64

	// current holds the hold-offs by server instance. The map is never modified once it is stored.
	current atomic.Pointer[map[string]*period]

	// mu is held to replace the map and to change a period.
	mu sync.Mutex
}

// RecordAnswer records an answer of a server instance to a request sent at the given time; holdOff
// is 0 if it does not ask to hold off.
func (b *Tracker) RecordAnswer(server string, holdOff time.Duration, sent time.Time) {
	if b == nil || holdOff == 0 && b.get(server) == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.get(server)
	switch {
	case holdOff > 0:
		b.recordHoldOff(server, p, holdOff)
	case p != nil && p.elapsed(sent):
		b.set(server, nil)
		b.logEnd(p, reasonAnswered)
	}
}

// NumHeldOff returns the number of servers under a hold-off.
func (b *Tracker) NumHeldOff() int {
	if m := b.current.Load(); m != nil {
		return len(*m)
	}
	return 0
}

// Retain drops the state of servers that are gone.
func (b *Tracker) Retain(known func(server string) bool) {
	if b == nil || b.NumHeldOff() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for server, p := range *b.current.Load() {
		if !known(server) {
			b.set(server, nil)
			b.logEnd(p, reasonGone)
		}
	}
}

// recordHoldOff records that a server asks to hold off, possibly again. The lock must be held.
func (b *Tracker) recordHoldOff(server string, p *period, holdOff time.Duration) {
	now := b.Clock.Now()
	if p == nil {
		p = &period{server: server, since: now}
		b.set(server, p)
	}
	again := !p.elapsed(now)
	if !p.extend(holdOff, now, b.Draw()) {
		return
	}
	b.Metrics.OrDiscard().HoldOffs.Inc(server)
	if !again {
		b.logBegin(p)
	}
}

// get returns the hold-off of a server, or nil.
func (b *Tracker) get(server string) *period {
	if m := b.current.Load(); m != nil {
		return (*m)[server]
	}
	return nil
}

// set replaces the hold-off of a server; nil removes it. The lock must be held.
func (b *Tracker) set(server string, p *period) {
	next := make(map[string]*period)
	if m := b.current.Load(); m != nil {
		maps.Copy(next, *m)
	}
	delete(next, server)
	if p != nil {
		next[server] = p
	}
	if len(next) == 0 {
		b.current.Store(nil)
		return
	}
	b.current.Store(&next)
}
