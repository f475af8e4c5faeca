// Package serverpath chooses how this box reaches a backend server: directly, or through another box
// if the direct path is down.
//
// A server is dialed directly. If that fails or takes long, the connection is also opened through a
// peer, and the first one to be established is used ("happy eyeballs", RFC 8305). From then on the
// server is dialed through peers first, until a probe finds the direct path in order. While no direct
// path to any server works, all servers are dialed through peers first.
package serverpath

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/reach"
	"github.com/dalebend/dalebend/internal/telemetry"
)

const (
	// attemptDelay is how long an attempt may take before the next one starts beside it: many round
	// trips, and half of the time for a connection, so that slow dials seldom cost a second one.
	attemptDelay = 100 * time.Millisecond
	// maxPeers bounds the peers that are tried for one connection.
	maxPeers = 3
	// peerHoldTime is how long a peer that could not connect to any server is tried last.
	peerHoldTime = time.Second
	// downAfter is the number of failures in a row on all paths after which connections to a server
	// fail at once until a probe connects: their callers are refused without a wait.
	downAfter = 2
)

// TunnelDialer connects to a server through a peer. The connection has a method Peer that returns the
// name of the peer.
type TunnelDialer interface {
	Dial(ctx context.Context, peer *member.Box, server string) (net.Conn, error)
}

// tunneledConn is a connection through a peer.
type tunneledConn interface{ Peer() string }

// Selector is an exchange.Paths, safe for concurrent use. Set the exported fields before use.
type Selector struct {
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// Reach tracks the servers that this box reaches directly.
	Reach *reach.Tracker
	// Peers returns the other boxes that may connect to servers for this one.
	Peers func() []member.Box
	// Domain returns the failure domain of a server, "" if it is unknown.
	Domain func(server string) string
	// Tunnels connects through peers.
	Tunnels TunnelDialer
	// Draw returns a random number below n.
	Draw func(n int) int

	// disturbed is set once a path was not in order. While it is not, direct connections are usable.
	disturbed atomic.Bool

	mu      sync.Mutex
	servers map[string]*path
	// heldPeers holds until when peers are tried last.
	heldPeers map[string]time.Time
	probes    clockwork.Timer // nil while none is due
}

// path is what is known of the paths to one server. Servers in order have none.
type path struct {
	// detour is set while the direct path is down and a peer reaches the server, since the time.
	detour bool
	since  time.Time
	// refused is set if the direct path refuses connections instead of losing packets, so that open
	// ones may live on.
	refused bool
	// peer is the name of the last one that connected.
	peer string
	// failures counts the connections in a row that failed on all paths, lastErr is the last error.
	failures int
	lastErr  error
	// direct dials the server, for probes. probedAt is when it was last probed.
	direct   exchange.DialFunc
	probedAt time.Time
}

// down reports whether the server was not reached on any path.
func (p *path) down() bool { return p.failures >= downAfter }

// Connect implements exchange.Paths.
func (s *Selector) Connect(ctx context.Context, server string, direct exchange.DialFunc) (net.Conn, error) {
	if err := s.downError(server); err != nil {
		return nil, err
	}
	return s.connect(ctx, server, direct, false)
}

// Check implements exchange.Paths. It asks a peer at the same time as it dials.
func (s *Selector) Check(ctx context.Context, server string, direct exchange.DialFunc) (net.Conn, error) {
	return s.connect(ctx, server, direct, true)
}

func (s *Selector) connect(ctx context.Context, server string, direct exchange.DialFunc, eager bool) (net.Conn, error) {
	r := s.newRace(server, direct, eager)
	conn, err := r.run(ctx)
	if err != nil {
		if !causedByCaller(ctx) {
			s.recordFailed(server, r, err)
		}
		return nil, err
	}
	s.recordConnected(server, r, conn)
	return conn, nil
}

// ConnectForPeer connects directly to a server for another box. The error wraps exchange.ErrNoPath if
// this box has no direct path itself.
func (s *Selector) ConnectForPeer(ctx context.Context, server string, direct exchange.DialFunc) (net.Conn, error) {
	if s.Reach.Isolated() || s.onDetour(server) {
		return nil, fmt.Errorf("direct path is down: %w", exchange.ErrNoPath)
	}
	conn, err := direct(ctx)
	switch {
	case err == nil:
		s.Reach.RecordContact(server)
	case !causedByCaller(ctx):
		s.Reach.RecordFailure(server, err)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pathTo(server).direct = direct
		s.probeIfNeeded()
	}
	return conn, err
}

// Usable implements exchange.Paths. Direct connections are not used while they may hang, and tunnels
// no longer than needed.
func (s *Selector) Usable(server string, conn net.Conn) bool {
	t, tunneled := conn.(tunneledConn)
	if !tunneled {
		return !s.DirectHangs(server)
	}
	return (s.onDetour(server) || s.Reach.Isolated()) && slices.ContainsFunc(s.Peers(), func(b member.Box) bool { return b.Name == t.Peer() })
}

// DirectHangs reports whether open direct connections to a server may hang.
func (s *Selector) DirectHangs(server string) bool {
	if !s.disturbed.Load() {
		return false
	}
	s.mu.Lock()
	p := s.servers[server]
	hangs := p != nil && p.detour && !p.refused
	s.mu.Unlock()
	return hangs || s.Reach.Isolated()
}

// RecordAnswer implements exchange.Paths.
func (s *Selector) RecordAnswer(server string, conn net.Conn) {
	if _, tunneled := conn.(tunneledConn); !tunneled {
		s.Reach.RecordContact(server)
	}
}

// NumDetours returns the number of servers that are reached through peers.
func (s *Selector) NumDetours() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.servers {
		if p.detour {
			n++
		}
	}
	return n
}

// Retain forgets all servers except the known ones.
func (s *Selector) Retain(known func(server string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for server := range s.servers {
		if !known(server) {
			delete(s.servers, server)
		}
	}
}

// downError returns the error of a connection that is not tried, as the server is down, or nil.
func (s *Selector) downError(server string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.servers[server]
	if p == nil || !p.down() {
		return nil
	}
	return fmt.Errorf("not tried before the next probe: %w", p.lastErr)
}

func (s *Selector) onDetour(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.servers[server]
	return p != nil && p.detour
}

// pathTo returns the state of a server, which it creates if needed. The lock must be held.
func (s *Selector) pathTo(server string) *path {
	s.disturbed.Store(true)
	if s.servers == nil {
		s.servers = make(map[string]*path)
	}
	p := s.servers[server]
	if p == nil {
		p = &path{}
		s.servers[server] = p
	}
	return p
}

func (s *Selector) recordFailed(server string, r *race, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pathTo(server)
	p.failures++
	p.lastErr = err
	p.direct = r.direct
	s.recordDirect(server, r)
	s.probeIfNeeded()
}

// recordDirect records the outcome of the direct dial.
func (s *Selector) recordDirect(server string, r *race) {
	if r.directErr != nil {
		s.Reach.RecordFailure(server, r.directErr)
	}
}

func (s *Selector) recordConnected(server string, r *race, conn net.Conn) {
	t, tunneled := conn.(tunneledConn)
	if !tunneled {
		s.Reach.RecordContact(server)
		s.directRegained(server)
		return
	}
	s.recordDirect(server, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pathTo(server)
	p.failures, p.lastErr = 0, nil
	s.Metrics.OrDiscard().PeerConnections.Inc()
	p.peer = t.Peer()
	p.direct = r.direct
	if r.directErr == nil {
		return // it was not tried
	}
	p.refused = isRefusal(r.directErr)
	if !p.detour {
		p.detour, p.since = true, s.Clock.Now()
		s.log(event.PathLost, slog.String(event.KeyServer, server), slog.String(event.KeyPeer, p.peer),
			slog.String(event.KeyCause, r.directErr.Error()))
	}
	s.probeIfNeeded()
}

// directRegained records that the direct path to a server is in order.
func (s *Selector) directRegained(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.servers[server]
	if p == nil {
		return
	}
	delete(s.servers, server)
	s.disturbed.Store(len(s.servers) > 0)
	if p.detour {
		s.log(event.PathRegained, slog.String(event.KeyServer, server), slog.Int64(event.KeyAway, s.Clock.Since(p.since).Milliseconds()))
	}
}

func (s *Selector) log(name event.Name, attrs ...slog.Attr) {
	s.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}
