package serverpath

import (
	"context"
	"time"

	"github.com/dalebend/dalebend/internal/exchange"
)

const (
	// probeInterval is the time between two probes. Each is of one server.
	probeInterval = 250 * time.Millisecond
	// nextProbeDelay replaces probeInterval after a probe that connected: others will, too.
	nextProbeDelay = 10 * time.Millisecond
	// probeTimeout bounds a probe. It leaves a peer time to find out whether it reaches the server.
	probeTimeout = 300 * time.Millisecond
)

// probeIfNeeded schedules a probe unless one is due or no server needs one. The lock must be held.
func (s *Selector) probeIfNeeded() {
	if s.probes != nil {
		return
	}
	if _, next := s.nextProbe(); next != nil {
		s.probes = s.Clock.AfterFunc(probeInterval, s.probe)
	}
}

// probe probes the server that has waited for it the longest, and schedules the next probe while one
// is needed.
func (s *Selector) probe() {
	s.mu.Lock()
	server, next := s.nextProbe()
	if next == nil {
		s.probes = nil
		s.mu.Unlock()
		return
	}
	next.probedAt = s.Clock.Now()
	direct, down := next.direct, next.down()
	s.mu.Unlock()
	connected := false
	if down {
		connected = s.probeAll(server, direct)
	} else {
		connected = s.probeDirect(server, direct)
	}
	delay := probeInterval
	if connected {
		delay = nextProbeDelay
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes = s.Clock.AfterFunc(delay, s.probe)
}

// nextProbe returns the server that needs a probe and has waited for it the longest, or nil. Servers
// whose direct path is down need one, and those that are not reached at all. A box that appears to
// have lost all its paths also probes others that it did not reach. The lock must be held.
func (s *Selector) nextProbe() (server string, next *path) {
	isolated := s.Reach.Isolated()
	for name, p := range s.servers {
		needed := p.detour || p.down() || isolated && p.direct != nil
		if needed && (next == nil || p.probedAt.Before(next.probedAt)) {
			server, next = name, p
		}
	}
	return server, next
}

// probeDirect reports whether a server is reached directly.
func (s *Selector) probeDirect(server string, direct exchange.DialFunc) bool {
	ctx, cancel := exchange.WithDialTimeout(context.Background(), s.Clock, probeTimeout)
	defer cancel()
	conn, err := direct(ctx)
	if err != nil {
		s.Reach.RecordFailure(server, err)
		return false
	}
	_ = conn.Close() // nothing was sent on it
	s.Reach.RecordContact(server)
	s.directRegained(server)
	return true
}

// probeAll reports whether a server is reached on any path.
func (s *Selector) probeAll(server string, direct exchange.DialFunc) bool {
	ctx, cancel := exchange.WithDialTimeout(context.Background(), s.Clock, probeTimeout)
	defer cancel()
	r := s.newRace(server, direct, true)
	conn, err := r.run(ctx)
	if err != nil {
		s.recordFailed(server, r, err)
		return false
	}
	_ = conn.Close() // nothing was sent on it
	s.recordConnected(server, r, conn)
	return true
}
