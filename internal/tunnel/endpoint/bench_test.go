package endpoint_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRoundTrip measures a request and its answer of 800 bytes each on an open connection, direct and
// through a tunnel.
func BenchmarkRoundTrip(b *testing.B) {
	r := newRig(b)
	direct, err := net.Dial("tcp", r.backend.Addr().String())
	require.NoError(b, err)
	b.Cleanup(func() { _ = direct.Close() })
	far, err := r.backend.Accept()
	require.NoError(b, err)
	go echo(far)
	b.Run("direct", func(b *testing.B) { roundTrips(b, direct) })
	near, end := r.open()
	go echo(end)
	b.Run("tunnel", func(b *testing.B) { roundTrips(b, near) })
}

func echo(conn net.Conn) { _, _ = io.Copy(conn, conn) }

func roundTrips(b *testing.B, conn net.Conn) {
	body := []byte(strings.Repeat("x", 800))
	got := make([]byte, len(body))
	for b.Loop() {
		_, err := conn.Write(body)
		require.NoError(b, err)
		_, err = io.ReadFull(conn, got)
		require.NoError(b, err)
	}
}
