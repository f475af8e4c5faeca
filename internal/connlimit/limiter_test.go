package connlimit_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dalebend/dalebend/internal/connlimit"
	"github.com/dalebend/dalebend/internal/headcost"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a listener whose connections are bounded.
type rig struct {
	t     *testing.T
	clock *clockwork.FakeClock
	ln    net.Listener

	mu      sync.Mutex
	reasons []connlimit.Reason
}

func newRig(t *testing.T, conns int, headBytes int64) *rig {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() }) // some tests close it
	r := &rig{t: t, clock: clockwork.NewFakeClock()}
	limiter := &connlimit.Limiter{Clock: r.clock, MaxConns: conns, MaxHeadBytes: headBytes, OnClose: r.evicted}
	r.ln = limiter.Listen(ln)
	return r
}

func (r *rig) evicted(reason connlimit.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons = append(r.reasons, reason)
}

// dial opens a connection and returns both ends.
func (r *rig) dial() (near *connlimit.Conn, far net.Conn) {
	far, err := net.Dial("tcp", r.ln.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = far.Close() }) // the end may have failed
	nc, err := r.ln.Accept()
	require.NoError(r.t, err)
	near = nc.(*connlimit.Conn)
	r.t.Cleanup(func() { _ = near.Close() }) // it may be closed
	return near, far
}

// accept passes the next connection on, or nil if the listener is closed.
func (r *rig) accept(to chan<- net.Conn) {
	nc, err := r.ln.Accept()
	if err != nil {
		nc = nil
	}
	to <- nc
}

// receive passes bytes over a connection.
func (r *rig) receive(near *connlimit.Conn, far net.Conn, text string) error {
	_, err := io.WriteString(far, text)
	require.NoError(r.t, err)
	_, err = io.ReadFull(near, make([]byte, len(text)))
	return err
}

func (r *rig) requireOpen(near *connlimit.Conn, open bool, msg string) {
	r.t.Helper()
	_, err := near.Write([]byte("x"))
	require.Equal(r.t, open, err == nil, msg)
}

// TestConnectionsThatFinishNoHeadGoFirst: at the bound those that await a head for longest are closed, then those that are idle for
// longest, and none that is in use.
func TestConnectionsThatFinishNoHeadGoFirst(t *testing.T) {
	r := newRig(t, 4, 0)
	used, _ := r.dial()
	used.Begin(nil)
	idle, idleFar := r.dial()
	idle.Begin(nil)
	idle.End()
	silent, _ := r.dial()
	slow, slowFar := r.dial()
	require.NoError(t, r.receive(slow, slowFar, "GET"))
	r.dial()
	r.requireOpen(silent, false, "awaited for longest")
	r.requireOpen(slow, true, "awaited for less long")
	require.NoError(t, r.receive(idle, idleFar, "GET"))
	idle.Begin(nil)
	idle.End()
	r.dial()
	r.requireOpen(slow, false, "its first bytes don't make it younger")
	r.dial()
	r.dial()
	r.requireOpen(idle, true, "others await a head")
	r.requireOpen(used, true, "in use")
	require.Equal(t, []connlimit.Reason{connlimit.TooMany, connlimit.TooMany, connlimit.TooMany, connlimit.TooMany}, r.reasons)
}

// TestIdleConnectionsMakeRoom: without connections that await a head the one that is idle for longest is closed.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	r := newRig(t, 2, 0)
	first, _ := r.dial()
	second, _ := r.dial()
	for _, c := range []*connlimit.Conn{second, first} {
		c.Begin(nil)
		c.End()
	}
	r.dial()
	r.requireOpen(second, false, "idle for longest")
	r.requireOpen(first, true, "idle for less long")
}

// TestNewConnectionAwaitsOneInUse: if all connections are in use a new one waits until one ends, for a moment.
func TestNewConnectionAwaitsOneInUse(t *testing.T) {
	r := newRig(t, 1, 0)
	used, _ := r.dial()
	used.Begin(nil)
	late, err := net.Dial("tcp", r.ln.Addr().String())
	require.NoError(t, err)
	defer late.Close()
	accepted := make(chan net.Conn, 1)
	go r.accept(accepted)
	require.NoError(t, r.clock.BlockUntilContext(t.Context(), 1))
	used.End()
	nc := <-accepted
	require.NotNil(t, nc)
	r.requireOpen(used, false, "idle")

	nc.(*connlimit.Conn).Begin(nil)
	refused, err := net.Dial("tcp", r.ln.Addr().String())
	require.NoError(t, err)
	defer refused.Close()
	go r.accept(accepted)
	require.NoError(t, r.clock.BlockUntilContext(t.Context(), 1))
	r.clock.Advance(connlimit.MaxAcceptWait)
	_, err = refused.Read(make([]byte, 1))
	require.Error(t, err, "closed")
	require.NoError(t, nc.Close())
	require.NoError(t, r.ln.Close())
	require.Nil(t, <-accepted)
}

// TestLargeHeadsGoFirst: heads that take too much together are closed, the oldest first, and common ones are not.
func TestLargeHeadsGoFirst(t *testing.T) {
	tiny := strings.Repeat("a:\r\n", 1000)
	each := headcost.Of([]byte(tiny)) - headcost.Free
	r := newRig(t, 0, 2*each)
	common, commonFar := r.dial()
	require.NoError(t, r.receive(common, commonFar, "GET / HTTP/1.1\r\n"))
	var near []*connlimit.Conn
	for range 3 {
		c, far := r.dial()
		near = append(near, c)
		require.NoError(t, r.receive(c, far, tiny))
	}
	r.requireOpen(near[0], false, "the oldest")
	require.False(t, near[0].Begin(nil), "its message must not be handled")
	r.requireOpen(near[1], true, "within the bound")
	r.requireOpen(common, true, "not counted")
	require.Equal(t, []connlimit.Reason{connlimit.HeadsTooLarge}, r.reasons)

	header := http.Header{}
	for i := range 1000 {
		header.Add(fmt.Sprintf("A%d", i), "")
	}
	for _, c := range near[1:] {
		require.True(t, c.Begin(header))
		r.requireOpen(c, true, "in use")
	}
	require.False(t, common.Begin(header), "it came unseen, behind the end of another head")
	common.End()
	last, far := r.dial()
	require.Error(t, r.receive(last, far, tiny), "those in use hold the memory")
	near[1].End()
	last, far = r.dial()
	require.NoError(t, r.receive(last, far, tiny))
}

// TestLimitsOfAServer: an HTTP server tells of the begin and the end of its requests.
func TestLimitsOfAServer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limiter := &connlimit.Limiter{Clock: clockwork.NewRealClock(), MaxConns: 1}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "yes") })}
	served := make(chan error, 1)
	go func() { served <- limiter.Serve(server, ln) }()
	for range 3 {
		client := &http.Client{Transport: &http.Transport{}}
		resp, err := client.Get("http://" + ln.Addr().String())
		require.NoError(t, err)
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "yes", string(text))
		defer client.CloseIdleConnections()
	}
	require.NoError(t, server.Close())
	require.ErrorIs(t, <-served, http.ErrServerClosed)
}

// TestNoLimiter: without a limiter nothing changes.
func TestNoLimiter(t *testing.T) {
	var limiter *connlimit.Limiter
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.Equal(t, ln, limiter.Listen(ln))
	require.NoError(t, ln.Close())
	var c *connlimit.Conn
	c.Begin(nil)
	c.End()
}
