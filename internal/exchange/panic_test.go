package exchange

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// defectivePaths panics once a head was read.
type defectivePaths struct{ directPath }

func (defectivePaths) RecordAnswer(string, net.Conn) { panic("a defect") }

// defectiveReader panics.
type defectiveReader struct{}

func (defectiveReader) Read([]byte) (int, error) { panic("a defect") }
func (defectiveReader) clean() bool              { return false }

// TestPanicReleasesConnection guards against a connection that stays in use after a panic of whoever
// reads its answer (review/1): it counts against the server's limit, which at last closes the server to
// the box.
func TestPanicReleasesConnection(t *testing.T) {
	c := &Client{Clock: clockwork.NewFakeClock(), DialTimeout: time.Minute}
	target := Target{Key: "s1", Addr: answering(t), MaxConns: 1}
	request := &Request{Method: "GET", URI: "/", Host: "h"}

	c.Paths = defectivePaths{}
	require.Panics(t, func() { _, _ = c.Do(context.Background(), target, request) })
	require.Empty(t, c.pools)

	c.Paths = nil
	resp, err := c.Do(context.Background(), target, request)
	require.NoError(t, err)
	read := resp.Body.(*body)
	read.in = defectiveReader{}
	require.Panics(t, func() { _, _ = io.ReadAll(read) })
	require.Empty(t, c.pools)
	require.NoError(t, resp.Body.Close())
}

// answering returns the address of a server that answers each connection at once.
func answering(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := make(chan net.Conn, 8)
	go func() {
		defer close(conns)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
			conns <- conn
		}
	}()
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		for conn := range conns {
			_ = conn.Close()
		}
	})
	return l.Addr().String()
}
