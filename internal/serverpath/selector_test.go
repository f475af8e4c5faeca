package serverpath_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/reach"
	"github.com/dalebend/dalebend/internal/serverpath"
	"github.com/dalebend/dalebend/internal/tunnel"
)

// dialTimeout bounds one connection, as that of exchange.Client does.
const dialTimeout = 200 * time.Millisecond

// TestSelector plays the stories in testdata.
func TestSelector(t *testing.T) {
	text, err := os.ReadFile("testdata/stories.txt")
	require.NoError(t, err)
	for _, story := range strings.Split(strings.TrimSpace(string(text)), "\n\n") {
		lines := strings.Split(story, "\n")
		t.Run(strings.TrimPrefix(lines[0], "# "), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newWorld(t).play(lines[1:]) })
		})
	}
}

// world is a network with servers and peers that behave as a story says.
type world struct {
	t        *testing.T
	selector *serverpath.Selector
	peers    []member.Box

	mu sync.Mutex
	// direct is how each server answers direct dials, through how each peer answers.
	direct  map[string]string
	through map[string]string
	// asked are the peers that were asked since the last connect.
	asked []string
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, direct: make(map[string]string), through: make(map[string]string)}
	clock, logger := clockwork.NewRealClock(), slog.New(slog.DiscardHandler)
	w.selector = &serverpath.Selector{
		Clock: clock, Logger: logger, Reach: &reach.Tracker{Clock: clock, Logger: logger},
		Peers:  func() []member.Box { return w.peers },
		Domain: func(server string) string { return "hall-" + server },
		// The last of the peers with the same rank.
		Draw:    func(int) int { return 0 },
		Tunnels: w,
	}
	return w
}

func (w *world) play(lines []string) {
	for _, line := range lines {
		f := strings.Fields(line)
		switch f[0] {
		case "peers":
			w.setPeers(f[1:])
		case "direct":
			w.set(w.direct, f[1], f[2])
		case "peer":
			w.set(w.through, f[1], f[2])
		case "connect":
			require.Equal(w.t, strings.Join(f[2:], " "), w.connect(f[1]), line)
		case "check":
			require.Equal(w.t, strings.Join(f[2:], " "), w.check(f[1]), line)
		case "for-peer":
			require.Equal(w.t, strings.Join(f[2:], " "), w.connectForPeer(f[1]), line)
		case "usable":
			require.Equal(w.t, f[3], yesNo(w.selector.Usable(f[1], newConn(f[2]))), line)
		case "isolated":
			require.Equal(w.t, f[1], yesNo(w.selector.Reach.Isolated()), line)
		case "detours":
			require.Equal(w.t, f[1], strconv.Itoa(w.selector.NumDetours()), line)
		case "after":
			d, err := time.ParseDuration(f[1])
			require.NoError(w.t, err)
			time.Sleep(d) // of the bubble's clock
			synctest.Wait()
		default:
			w.t.Fatalf("no such verb: %q", line)
		}
	}
	// Ends the probes.
	w.selector.Retain(func(string) bool { return false })
	time.Sleep(time.Minute)
}

// setPeers sets the peers, each as NAME:DOMAIN.
func (w *world) setPeers(peers []string) {
	w.peers = nil
	for _, p := range peers {
		name, domain, _ := strings.Cut(p, ":")
		w.peers = append(w.peers, member.Box{Name: name, Domain: domain})
	}
}

// set and behavior guard the maps, which dials read.
func (w *world) set(of map[string]string, name, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	of[name] = how
}

func (w *world) behavior(of map[string]string, name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return of[name]
}

// connect connects to a server and returns the path, the time it took and the peers asked.
func (w *world) connect(server string) string {
	w.mu.Lock()
	w.asked = nil
	w.mu.Unlock()
	began := time.Now()
	ctx, cancel := context.WithTimeoutCause(w.t.Context(), dialTimeout, exchange.ErrDialTimeout)
	defer cancel()
	conn, err := w.selector.Connect(ctx, server, w.dialDirect(server))
	took := time.Since(began)
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.TrimSpace(outcome(conn, err) + " " + took.String() + " " + strings.Join(w.asked, ","))
}

func (w *world) connectForPeer(server string) string {
	ctx, cancel := context.WithTimeoutCause(w.t.Context(), dialTimeout, exchange.ErrDialTimeout)
	defer cancel()
	return outcome(w.selector.ConnectForPeer(ctx, server, w.dialDirect(server)))
}

func (w *world) check(server string) string {
	ctx, cancel := context.WithTimeout(w.t.Context(), 300*time.Millisecond)
	defer cancel()
	return outcome(w.selector.Check(ctx, server, w.dialDirect(server)))
}

func (w *world) dialDirect(server string) exchange.DialFunc {
	return func(ctx context.Context) (net.Conn, error) {
		return answer(ctx, w.behavior(w.direct, server), "direct")
	}
}

// Dial implements serverpath.TunnelDialer.
func (w *world) Dial(ctx context.Context, peer *member.Box, _ string) (net.Conn, error) {
	w.mu.Lock()
	w.asked = append(w.asked, peer.Name)
	w.mu.Unlock()
	return answer(ctx, w.behavior(w.through, peer.Name), peer.Name)
}

// answer answers a dial as a story says.
func answer(ctx context.Context, how, via string) (net.Conn, error) {
	switch how {
	case "refuses":
		return nil, syscall.ECONNREFUSED
	case "unreachable":
		return nil, tunnel.ErrServerUnreachable
	case "unable":
		return nil, tunnel.ErrPeerUnable
	case "hangs":
		<-ctx.Done()
		return nil, context.Cause(ctx)
	case "late":
		time.Sleep(50 * time.Millisecond)
		return newConn(via), nil
	case "late-unreachable":
		time.Sleep(150 * time.Millisecond)
		return nil, tunnel.ErrServerUnreachable
	default:
		return newConn(via), nil
	}
}

// directConn and peerConn are connections on which nothing is sent.
type (
	directConn struct{ net.Conn }
	peerConn   struct {
		net.Conn

		peer string
	}
)

func (directConn) Close() error { return nil }
func (peerConn) Close() error   { return nil }
func (c peerConn) Peer() string { return c.peer }
func yesNo(b bool) string       { return map[bool]string{true: "yes", false: "no"}[b] }
func newConn(via string) net.Conn {
	if via == "direct" {
		return directConn{}
	}
	return peerConn{peer: via}
}

// outcome names the path of a connection, or what its failure proves.
func outcome(conn net.Conn, err error) string {
	switch c := conn.(type) {
	case directConn:
		return "direct"
	case peerConn:
		return c.peer
	}
	if errors.Is(err, exchange.ErrNoPath) {
		return "no-path"
	}
	return "down"
}
