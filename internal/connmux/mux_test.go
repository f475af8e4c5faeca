package connmux_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/connmux"
)

const prefix = "GET /tunnel/"

// start runs a mux and returns it with its address.
func start(t *testing.T, clock clockwork.Clock) (*connmux.Mux, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &connmux.Mux{Listener: ln, Prefix: prefix, Clock: clock, Logger: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
		again, err := net.Listen("tcp", ln.Addr().String())
		require.NoError(t, err, "the address is free")
		require.NoError(t, again.Close())
	})
	return m, ln.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestMux: connections go by their first bytes, of which none is lost, also if they arrive in parts.
func TestMux(t *testing.T) {
	m, addr := start(t, clockwork.NewFakeClock())
	for text, to := range map[string]net.Listener{
		prefix + "s1":  m.Matching(),
		"GET /other/":  m.Others(),
		"\x2a\xff\x81": m.Others(),
	} {
		conn := dial(t, addr)
		_, err := io.WriteString(conn, text)
		require.NoError(t, err)
		requireReads(t, to, text)
	}
	conn := dial(t, addr)
	for _, part := range []string{"G", "ET /tun", "nel/s2"} {
		_, err := io.WriteString(conn, part)
		require.NoError(t, err)
	}
	requireReads(t, m.Matching(), prefix+"s2")
}

func requireReads(t *testing.T, ln net.Listener, text string) {
	conn, err := ln.Accept()
	require.NoError(t, err)
	defer conn.Close()
	got := make([]byte, len(text))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
}

// TestCalls: a client of net/rpc is never taken for a tunnel.
func TestCalls(t *testing.T) {
	m, addr := start(t, clockwork.NewFakeClock())
	client := rpc.NewClient(dial(t, addr))
	defer client.Close()
	client.Go("Share.View", &struct{ Have int64 }{1}, &struct{}{}, nil)
	conn, err := m.Others().Accept()
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}

// TestSilentConnection: one that sends too little is closed and holds up no other.
func TestSilentConnection(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m, addr := start(t, clock)
	silent := dial(t, addr)
	_, err := io.WriteString(silent, "GET")
	require.NoError(t, err)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	_, err = io.WriteString(dial(t, addr), prefix+"s1")
	require.NoError(t, err)
	requireReads(t, m.Matching(), prefix+"s1")
	clock.Advance(2 * time.Second)
	_, err = silent.Read(make([]byte, 1))
	require.Error(t, err)
}

// TestClosed: the listeners end with the mux.
func TestClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &connmux.Mux{Listener: ln, Prefix: prefix, Clock: clockwork.NewFakeClock(), Logger: slog.New(slog.DiscardHandler)}
	others, matching := m.Others(), m.Matching()
	require.Equal(t, ln.Addr(), others.Addr())
	require.NoError(t, ln.Close())
	require.NoError(t, m.Run(context.Background()))
	for _, l := range []net.Listener{others, matching} {
		_, err := l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
	}
}
