package viewshare

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/cowmap"
	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/storerev"
)

// decodeDoc parses the tests' documents: a version, and anything after a space.
func decodeDoc(doc []byte) (*routetable.Table, error) {
	word, _, _ := strings.Cut(string(doc), " ")
	version, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		return nil, err
	}
	return routetable.New(routetable.Spec{Version: version})
}

func doc(version int64) []byte { return fmt.Appendf(nil, "%d document", version) }

// viewAt returns the view of a revision in the tests' store: entries come, go and change.
func viewAt(revision storerev.Revision) registry.View {
	servers := make(map[string]registry.Server)
	for i := range revision % 7 {
		id := fmt.Sprintf("server-%d", i)
		servers[id] = registry.Server{
			ID: id, Service: "chat", Addr: "10.0.0.1:80", Domain: "hall", Slots: int(revision / 3),
			State: registry.State(revision % 2), Warmup: time.Duration(i) * time.Second,
		}
	}
	return registry.View{Revision: revision, Servers: cowmap.Of(servers)}
}

// lines collects log lines.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(p))
	return len(p), nil
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range l.all {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// box is a Share that is served on loopback.
type box struct {
	*Share

	name   string
	addr   string
	tables chan int64
	views  chan registry.View
	log    *lines
}

// newClock starts in the future, so that socket deadlines set from it do not pass during the test.
func newClock() *clockwork.FakeClock { return clockwork.NewFakeClockAt(time.Now().Add(time.Hour)) }

func newBox(t *testing.T, name string, clock clockwork.Clock) *box {
	t.Helper()
	b := &box{name: name, tables: make(chan int64, 1000), views: make(chan registry.View, 1000), log: &lines{}}
	b.Share = &Share{
		Decode: decodeDoc, Clock: clock, Logger: slog.New(slog.NewTextHandler(b.log, nil)),
		OnTable: func(table *routetable.Table) { b.tables <- table.Version() },
		OnView:  func(v registry.View) { b.views <- v },
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return b
}

// digest returns the box's digest.
func (b *box) digest() *digest.Digest {
	config := b.ConfigVersion()
	return &digest.Digest{
		Box: b.name, Addr: "10.0.0.1:1", CallAddr: b.addr, ConfigVersion: config.Number, ConfigEra: config.Era,
		ViewRevision: storerev.Revision(b.held(viewKind).number),
	}
}

// fetching returns the number of running fetches.
func (b *box) fetching() int {
	b.fetches.mu.Lock()
	defer b.fetches.mu.Unlock()
	return len(b.fetches.jobs)
}

// TestOffer: only higher versions and revisions are taken.
func TestOffer(t *testing.T) {
	b := newBox(t, "a", newClock())
	require.Nil(t, b.Table())
	require.Nil(t, b.View())
	for _, version := range []int64{3, 2, 3, 5, 4} {
		b.OfferConfig(doc(version), 0)
		b.OfferView(viewAt(storerev.Revision(version)))
	}
	require.Equal(t, int64(5), b.Table().Version())
	require.Equal(t, viewAt(5), *b.View())
	require.Equal(t, []int64{3, 5}, []int64{<-b.tables, <-b.tables})
	require.Equal(t, viewAt(3), <-b.views)
	require.Equal(t, viewAt(5), <-b.views)
	require.Empty(t, b.tables)
	require.Empty(t, b.views)
}

// TestUndecodable: a document that cannot be decoded is logged, and the held one stays.
func TestUndecodable(t *testing.T) {
	b := newBox(t, "a", newClock())
	b.OfferConfig(doc(3), 0)
	b.OfferConfig([]byte("rubbish"), 0)
	require.Equal(t, int64(3), b.Table().Version())
	require.Equal(t, 1, b.log.count("config-refused"))
}

// TestLearnFromPeer: a box that cannot reach the store gets everything from a peer, first whole
// documents and then changes.
func TestLearnFromPeer(t *testing.T) {
	clock := newClock()
	a, b := newBox(t, "a", clock), newBox(t, "b", clock)
	for revision := storerev.Revision(1); revision < 200; revision++ {
		a.OfferConfig(doc(revision.Number()), 0)
		a.OfferView(viewAt(revision))
		b.Receive(a.digest())
		require.Equal(t, revision.Number(), <-b.tables)
		require.Equal(t, viewAt(revision), <-b.views)
	}
	require.Zero(t, b.log.count("WARN"))
}

// TestFarBehind: a box that is further behind than the change log reaches gets the whole view.
func TestFarBehind(t *testing.T) {
	clock := newClock()
	a, b := newBox(t, "a", clock), newBox(t, "b", clock)
	b.OfferView(viewAt(1))
	<-b.views
	for revision := storerev.Revision(1); revision < 100; revision++ {
		a.OfferView(viewAt(revision))
	}
	b.Receive(a.digest())
	require.Equal(t, viewAt(99), <-b.views)
}

// TestMismatch: changes that do not lead to the peer's view make the box ask for the whole view.
func TestMismatch(t *testing.T) {
	clock := newClock()
	a, b := newBox(t, "a", clock), newBox(t, "b", clock)
	wrong := viewAt(6)
	wrong.Revision = 4
	b.OfferView(wrong)
	<-b.views
	a.OfferView(viewAt(4))
	a.OfferView(viewAt(5))
	b.Receive(a.digest())
	require.Equal(t, viewAt(5), <-b.views)
	require.Equal(t, 1, b.log.count("asking for the whole view"))
}

// silentPeer accepts connections and never answers; it reports when a call arrives.
func silentPeer(t *testing.T) (addr string, came <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ch := make(chan struct{}, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		var conns []net.Conn
		for {
			c, err := ln.Accept()
			if err != nil {
				break
			}
			conns = append(conns, c)
			if _, err := c.Read(make([]byte, 1)); err == nil {
				ch <- struct{}{}
			}
		}
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return ln.Addr().String(), ch
}

// TestSilentPeer: a call to a peer that does not answer times out, and another peer with a newer
// version is asked at once.
func TestSilentPeer(t *testing.T) {
	clock := newClock()
	a, b := newBox(t, "a", clock), newBox(t, "b", clock)
	a.OfferConfig(doc(8), 0)
	addr, came := silentPeer(t)
	b.Receive(&digest.Digest{Box: "silent", CallAddr: addr, ConfigVersion: 9})
	<-came
	b.Receive(a.digest())
	require.Equal(t, 1, b.fetching())
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(callTimeout)
	require.Equal(t, int64(8), <-b.tables)
	require.Equal(t, 1, b.log.count("ran out of time"))
}

// TestHedge: while a fetch takes long, a second peer is asked.
func TestHedge(t *testing.T) {
	clock := newClock()
	a, b := newBox(t, "a", clock), newBox(t, "b", clock)
	a.OfferConfig(doc(8), 0)
	addr, came := silentPeer(t)
	b.Receive(&digest.Digest{Box: "silent", CallAddr: addr, ConfigVersion: 9})
	<-came
	clock.Advance(hedgeAfter)
	b.Receive(a.digest())
	require.Equal(t, int64(8), <-b.tables)
}

// TestRefusedFromPeer: a peer's document that cannot be decoded is fetched once, not with every
// heartbeat.
func TestRefusedFromPeer(t *testing.T) {
	clock := newClock()
	a, b := newBox(t, "a", clock), newBox(t, "b", clock)
	a.Decode = func([]byte) (*routetable.Table, error) { return routetable.New(routetable.Spec{Version: 7}) }
	a.OfferConfig([]byte("rubbish"), 0)
	hear := func() { b.Receive(a.digest()); b.fetches.running.Wait() }
	hear()
	clock.Advance(failedPeerDelay)
	hear()
	require.Equal(t, 1, b.log.count("config-refused"))
	clock.Advance(refusedMemory)
	hear()
	require.Equal(t, 2, b.log.count("config-refused"))
}

// TestGrace: a box waits for its own watch before it asks a peer.
func TestGrace(t *testing.T) {
	clock := newClock()
	a, b := newBox(t, "a", clock), newBox(t, "b", clock)
	b.Grace = 50 * time.Millisecond
	a.OfferConfig(doc(8), 0)
	b.Receive(a.digest())
	b.Receive(a.digest())
	require.Zero(t, b.fetching())
	b.OfferConfig(doc(8), 0)
	require.Equal(t, int64(8), <-b.tables)
	clock.Advance(b.Grace)
	a.OfferConfig(doc(9), 0)
	b.Receive(a.digest())
	require.Zero(t, b.fetching())
	clock.Advance(b.Grace)
	require.Equal(t, int64(9), <-b.tables)
	require.Zero(t, b.log.count("WARN"))
}

// TestRestartedPeer: a kept connection that broke is replaced.
func TestRestartedPeer(t *testing.T) {
	clock := newClock()
	a, b := newBox(t, "a", clock), newBox(t, "b", clock)
	a.OfferConfig(doc(1), 0)
	b.Receive(a.digest())
	require.Equal(t, int64(1), <-b.tables)
	b.fetches.running.Wait()
	b.fetches.callers[a.addr].rpc.Close()
	a.OfferConfig(doc(2), 0)
	b.Receive(a.digest())
	b.fetches.running.Wait()
	require.Empty(t, b.tables)
	clock.Advance(failedPeerDelay)
	b.Receive(a.digest())
	require.Equal(t, int64(2), <-b.tables)
}
