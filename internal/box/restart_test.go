package box_test

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/storerev"
	"github.com/dalebend/dalebend/platform/standin"
)

// kindLeaving is the Kind of a digest's report on a server that is about to end.
const kindLeaving = 1

// depart sends the box such a report, and waits until the box has applied it.
func (p *peer) depart(r *rig, server string, revision storerev.Revision) {
	d := &digest.Digest{Box: "peer", Addr: p.addr(), Domain: "hall", Incarnation: 1, IntervalMs: 1000, StoreAgeMs: -1}
	d.Seq = uint64(2 * revision)
	d.Troubles = []digest.ServerFailure{{Server: server, Kind: kindLeaving}}
	p.send(digest.Encode(d))
	d.Seq++
	d.Troubles = nil
	d.CordonRevision, d.Cordoned = revision, []string{"elsewhere"}
	if revision%2 == 0 {
		d.Cordoned = nil
	}
	p.send(digest.Encode(d))
	r.log.await(event.CordonsInForce, func(a map[string]slog.Value) bool {
		return a[event.KeyRevision].Int64() == revision.Number()
	})
}

// TestNewStart checks that a server that restarts under its id gets requests, whatever is still
// reported of the former instance, and keeps none of its connections.
func TestNewStart(t *testing.T) {
	r := newRig(t)
	r.standard()
	servers := clockwork.NewFakeClock()
	r.engines.Clock = servers
	a := r.server("a", "plain")
	r.run()
	r.awaitConfig(1)
	r.awaitServers(1, 0)
	got, _ := r.ask(standin.Call{ID: "q1", Host: "once.test", URI: "/"})
	require.Equal(t, http.StatusOK, got.Status)
	p := r.newPeer()
	before, _ := p.viewOf(r).Servers.Get("a")

	r.awaitWatches()
	a.Crash()
	servers.Advance(time.Second)
	again, err := r.engines.Restart(a)
	require.NoError(t, err)
	r.log.await(event.ServersView, func(attrs map[string]slog.Value) bool {
		gone, ok := attrs[event.KeyGone].Any().([]string)
		return ok && gone[0] == before.ID
	})
	now, _ := p.viewOf(r).Servers.Get("a")
	require.Equal(t, "a", now.Name())
	require.Equal(t, servers.Now().UnixMilli(), now.Born)
	require.NotEqual(t, before.ID, now.ID)

	p.depart(r, before.ID, 1)
	got, text := r.ask(standin.Call{ID: "q2", Host: "once.test", URI: "/"})
	require.Equal(t, http.StatusOK, got.Status)
	require.Equal(t, "answer of a to q2", text)
	require.Len(t, again.Arrivals(), 1)

	p.depart(r, now.ID, 2)
	got, _ = r.ask(standin.Call{ID: "q3", Host: "once.test", URI: "/"})
	require.Equal(t, http.StatusServiceUnavailable, got.Status)
}
