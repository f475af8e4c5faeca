package endpoint_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/tunnel"
	"github.com/dalebend/dalebend/internal/tunnel/endpoint"
)

// rig is a peer that opens tunnels to one server.
type rig struct {
	t      testing.TB
	server *endpoint.Server
	peer   *member.Box
	// backend accepts the connections to the server.
	backend net.Listener
	// dialErr is the error of dials, if set.
	dialErr error
	stop    context.CancelFunc
}

func newRig(t testing.TB) *rig {
	r := &rig{t: t, backend: listen(t)}
	ln := listen(t)
	r.peer = &member.Box{Name: "b", CallAddr: ln.Addr().String()}
	r.server = &endpoint.Server{
		Clock: clockwork.NewFakeClock(), Logger: slog.New(slog.DiscardHandler), MaxTunnels: 2,
		Dial: func(ctx context.Context, server string) (net.Conn, error) {
			if r.dialErr != nil {
				return nil, r.dialErr
			}
			if server != "i/1~a b" {
				return nil, endpoint.ErrUnknown
			}
			return new(net.Dialer).DialContext(ctx, "tcp", r.backend.Addr().String())
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	ended := make(chan error, 1)
	go func() { ended <- r.server.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, ln.Close())
		require.NoError(t, <-ended)
	})
	return r
}

func listen(t testing.TB) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func (r *rig) dial(server string) (net.Conn, error) {
	return (&tunnel.Dialer{Net: new(net.Dialer)}).Dial(r.t.Context(), r.peer, server)
}

// open opens a tunnel and returns both ends.
func (r *rig) open() (near *tunnel.Conn, far *net.TCPConn) {
	conn, err := r.dial("i/1~a b")
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	end, err := r.backend.Accept()
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = end.Close() })
	return conn.(*tunnel.Conn), end.(*net.TCPConn)
}

// TestBytesPass: bytes pass both ways unchanged, in any size, and the server's end arrives as such.
func TestBytesPass(t *testing.T) {
	r := newRig(t)
	near, far := r.open()
	require.Equal(t, "b", near.Peer())
	require.Equal(t, 1, r.server.Open())
	request, answer := strings.Repeat("request ", 100_000), strings.Repeat("answer ", 100_000)
	go func() { _, _ = io.WriteString(near, request) }()
	got := make([]byte, len(request))
	_, err := io.ReadFull(far, got)
	require.NoError(t, err)
	require.Equal(t, request, string(got))
	go func() {
		_, _ = io.WriteString(far, answer)
		_ = far.Close()
	}()
	all, err := io.ReadAll(near)
	require.NoError(t, err, "a clean end")
	require.Equal(t, answer, string(all))
}

// TestCutIsNoEnd: an answer without a length that is cut anywhere on its way does not seem complete.
func TestCutIsNoEnd(t *testing.T) {
	for name, cut := range map[string]func(r *rig, far *net.TCPConn){
		"the server resets": func(_ *rig, far *net.TCPConn) {
			require.NoError(t, far.SetLinger(0))
			require.NoError(t, far.Close())
		},
		"the peer ends": func(r *rig, _ *net.TCPConn) { r.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			near, far := r.open()
			_, err := io.WriteString(far, "half")
			require.NoError(t, err)
			got := make([]byte, 4)
			_, err = io.ReadFull(near, got)
			require.NoError(t, err)
			cut(r, far)
			_, err = io.ReadAll(near)
			require.Error(t, err)
			require.NotErrorIs(t, err, io.EOF)
		})
	}
}

// TestKilledPeer: a process that is killed closes its connections without a reset.
func TestKilledPeer(t *testing.T) {
	ln := listen(t)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n\r\n\x00\x04half")
		_ = conn.Close()
	}()
	conn, err := (&tunnel.Dialer{Net: new(net.Dialer)}).Dial(t.Context(), &member.Box{CallAddr: ln.Addr().String()}, "s")
	require.NoError(t, err)
	defer conn.Close()
	got, err := io.ReadAll(conn)
	require.Equal(t, "half", string(got))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestCallerLeft: the server sees that the near end has closed, and the tunnel is over.
func TestCallerLeft(t *testing.T) {
	r := newRig(t)
	near, far := r.open()
	require.NoError(t, near.Close())
	_, err := far.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Eventually(t, func() bool { return r.server.Open() == 0 }, waitTime, checkInterval)
}

// TestEarlyAnswer: the answer of a server that reads no more of the request arrives.
func TestEarlyAnswer(t *testing.T) {
	r := newRig(t)
	near, far := r.open()
	_, err := io.WriteString(far, "no")
	require.NoError(t, err)
	require.NoError(t, far.CloseWrite())
	got, err := io.ReadAll(near)
	require.NoError(t, err)
	require.Equal(t, "no", string(got))
}

// TestRefusals: the dialer learns whether the server is down or the peer can't tell.
func TestRefusals(t *testing.T) {
	r := newRig(t)
	_, err := r.dial("unknown")
	require.ErrorIs(t, err, tunnel.ErrPeerUnable)
	r.dialErr = exchange.ErrNoPath
	_, err = r.dial("i/1~a b")
	require.ErrorIs(t, err, tunnel.ErrPeerUnable)
	r.dialErr = syscall.ECONNREFUSED
	_, err = r.dial("i/1~a b")
	require.ErrorIs(t, err, tunnel.ErrServerUnreachable)
	r.dialErr = nil
	r.open()
	r.open()
	_, err = r.dial("i/1~a b")
	require.ErrorIs(t, err, tunnel.ErrPeerUnable, "two tunnels are open")
}

// TestBadRequests: what is no request for a tunnel gets an error and no connection.
func TestBadRequests(t *testing.T) {
	for _, text := range []string{
		"GET /tunnel/s HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /tunnel/ HTTP/1.1\r\nHost: h\r\nUpgrade: dalebend-tunnel\r\n\r\n",
		"GET /tunnel/%zz HTTP/1.1\r\nHost: h\r\nUpgrade: dalebend-tunnel\r\n\r\n",
		"GET /tunnel/s\r\n\r\n",
	} {
		r := newRig(t)
		conn, err := net.Dial("tcp", r.peer.CallAddr)
		require.NoError(t, err)
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, resp.StatusCode, text)
		require.NoError(t, resp.Body.Close())
		require.NoError(t, conn.Close())
		require.Zero(t, r.server.Open())
	}
}

// TestPeerOfBefore: a peer without tunnels, which serves calls of net/rpc only, closes the connection.
func TestPeerOfBefore(t *testing.T) {
	ln := listen(t)
	go func() {
		if conn, err := ln.Accept(); err == nil {
			rpc.NewServer().ServeConn(conn)
		}
	}()
	_, err := (&tunnel.Dialer{Box: "a", Net: new(net.Dialer)}).Dial(t.Context(), &member.Box{CallAddr: ln.Addr().String()}, "s")
	require.Error(t, err)
	require.NotErrorIs(t, err, tunnel.ErrServerUnreachable)
}

// TestDialEnds: the end of the context ends a dial whose peer doesn't answer.
func TestDialEnds(t *testing.T) {
	ln := listen(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	errGivenUp := errors.New("given up")
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		cancel(errGivenUp)
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = conn.Read(make([]byte, 1))
	}()
	_, err := (&tunnel.Dialer{Net: new(net.Dialer)}).Dial(ctx, &member.Box{CallAddr: ln.Addr().String()}, "s")
	require.Error(t, err)
}

const (
	// waitTime bounds waits that end within microseconds.
	waitTime      = time.Minute
	checkInterval = time.Millisecond
)
