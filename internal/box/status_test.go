package box_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/platform/standin"
)

// answerRaw runs a backend server of a service that answers with status lines of the test's.
func (r *rig) answerRaw(id, service string, statusLine func() string) {
	s := &standin.RawServer{StatusLine: statusLine}
	addr, err := s.Start(boxIP())
	require.NoError(r.t, err)
	r.t.Cleanup(s.Close)
	r.engines.Announce(id, service, "hall", addr)
}

// TestStatusOfNoAnswer guards against an answer with a status that is none of HTTP, such as 000, that a caller gets as an answer of
// the server.
func TestStatusOfNoAnswer(t *testing.T) {
	for host, service := range map[string]string{"once.test": "plain", "many.test": "plain", "chat.test": "chat"} {
		t.Run(host, func(t *testing.T) {
			r := newRig(t)
			r.standard()
			// A second attempt may still be answered while the next request is prepared.
			var line atomic.Pointer[string]
			r.answerRaw("a", service, func() string { return *line.Load() })
			r.run()
			r.awaitServers(1, 0)
			r.awaitConfig(1)
			for n, odd := range []string{
				"HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 High", "HTTP/1.1 1000 Long",
				"HTTP/1.1 20 Short", "HTTP/1.1 +20 Signed", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK",
			} {
				line.Store(&odd)
				// A server that failed is left out for a while.
				r.clock.Advance(time.Minute)
				got, text := r.ask(standin.Call{ID: fmt.Sprintf("q%d", n), Host: host, URI: "/", Timeout: time.Minute})
				require.GreaterOrEqual(t, got.Status, http.StatusBadGateway, "%q", odd)
				require.LessOrEqual(t, got.Status, http.StatusGatewayTimeout, "%q", odd)
				require.Empty(t, got.Proof, "%q", odd)
				require.NotEqual(t, standin.RawBody, text, "%q", odd)
			}
			found := "HTTP/1.1 404 Not Found"
			line.Store(&found)
			r.clock.Advance(time.Minute)
			got, text := r.ask(standin.Call{ID: "last", Host: host, URI: "/", Timeout: time.Minute})
			require.Equal(t, http.StatusNotFound, got.Status)
			require.Equal(t, standin.RawBody, text)
		})
	}
}
