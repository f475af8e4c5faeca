package box_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The story. A planned stop cut a request: a caller that kept its connection, as callers do until the process
// is gone, sent it 3.02 s after the signal, and 7 ms later the connection ended without an answer. The server that
// the request had been passed on to ran it.
//
// The evidence. The box looks each 50 ms whether requests are open and ends when none is, 3 s after the signal at
// the soonest. The request was read after the last look and before connections were closed; 3.02 s is the first look
// after 3 s. A request whose head is still being read is not open either, so that this test has one that is.

// awaitConnection waits until the box has taken a caller's connection.
func (r *rig) awaitConnection() {
	require.Eventually(r.t, func() bool {
		return strings.Contains(r.scrape(), "\ndalebend_open_connections 1\n")
	}, time.Minute, time.Millisecond)
}

// TestStopWhileRequestArrives: a request that arrives in the last moment of a planned stop is answered.
func TestStopWhileRequestArrives(t *testing.T) {
	r, _ := withServers(t, "plain", "a")
	conn, err := net.Dial("tcp", r.settings.Front)
	require.NoError(t, err)
	defer conn.Close()
	r.awaitConnection()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: once.test\r\n")
	require.NoError(t, err)

	r.stop()
	r.stop = nil
	r.awaitTicker(stopTicker)
	r.clock.Advance(3 * time.Second)
	_, err = io.WriteString(conn, "Attempt-Id: q1\r\nTimeout-Ms: 1000\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "answer of a to q1", string(text))
	r.clock.Advance(r.settings.StopGrace)
	require.NoError(t, <-r.ended)
	r.log.requireDeclared(t)
}
