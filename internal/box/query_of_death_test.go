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

// These tests guard against a request that ends every server it runs on. Guidance streams of
// growers were cut again and again as their engines ended: 32 times in 80 s on a fleet of twelve,
// each time 50 to 110 ms after the engine had begun a night summary of one account. The caller of
// the summary got 502 and retried at any box with a new id; no box recognized it, and sent it to
// the next engine.
//
// The decision logs show 20 of the ends. At 19 there was exactly one stream without an event, of
// the same route and account, which one engine had run (no second run by a box, no continuation);
// no box refused a request of that route. Without the quarantine, ten attempts of one request here
// ended ten engines.

// deadlyBody is the body of a request that ends each server that begins to run it.
const deadlyBody = "deadly"

// maxEnds is the number of servers that may end during one request before it is held.
const maxEnds = 3

// deadlyRig returns a box with more servers than the tests make attempts.
func deadlyRig(t *testing.T, service string) (*rig, *atomic.Int64) {
	t.Helper()
	r := newRig(t)
	var ends atomic.Int64
	r.engines.CrashesOn = func(body string) bool { return body == deadlyBody }
	r.engines.OnCrash = func(*standin.BackendServer, string) { ends.Add(1) }
	r.standard()
	const servers = 14
	for n := range servers {
		r.server(fmt.Sprintf("s%d", n), service)
	}
	r.run()
	r.awaitConfig(1)
	r.awaitServers(servers, 0)
	return r, &ends
}

// attempt sends one attempt of a request, and advances the clock until failed servers would be used
// again.
func (r *rig) attempt(id, host, body string) *standin.Reply {
	r.t.Helper()
	got, _ := r.ask(standin.Call{
		ID: id, Method: http.MethodPost, Host: host, URI: "/a?q=1", Body: body, Timeout: time.Minute, PromptTokens: 100, MaxTokens: 400,
	})
	r.clock.Advance(time.Second)
	return got
}

// TestQueryOfDeath checks that a request during which three servers have ended is sent to no other,
// whatever its kind and however often it is retried.
func TestQueryOfDeath(t *testing.T) {
	for host, service := range map[string]string{"chat.test": "chat", "once.test": "plain", "many.test": "plain"} {
		t.Run(host, func(t *testing.T) {
			r, ends := deadlyRig(t, service)
			var last *standin.Reply
			for n := range 10 {
				last = r.attempt(fmt.Sprintf("q%d", n), host, deadlyBody)
			}
			require.LessOrEqual(t, ends.Load(), int64(maxEnds))
			require.Equal(t, http.StatusServiceUnavailable, last.Status)
			require.Empty(t, last.RetryAfter, "it is of no use to come again")
			require.Equal(t, "q9", last.ID)
		})
	}
}

// TestQueryOfDeathAfterAllEnd checks that the quarantine outlives the boxes. It guards against a
// fourth end of a server, as one of the first three was not counted.
func TestQueryOfDeathAfterAllEnd(t *testing.T) {
	r, ends := deadlyRig(t, "chat")
	for n := range maxEnds {
		r.attempt(fmt.Sprintf("q%d", n), "chat.test", deadlyBody)
	}
	require.EqualValues(t, maxEnds, ends.Load())
	r.end()
	r.log.forget()
	r.run()
	r.awaitServers(14, 0)
	require.Equal(t, http.StatusServiceUnavailable, r.attempt("again", "chat.test", deadlyBody).Status)
	require.EqualValues(t, maxEnds, ends.Load())
}
