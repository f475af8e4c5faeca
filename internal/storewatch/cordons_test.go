package storewatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// newCordonRig returns a rig whose store has cordons, after the first reads.
func newCordonRig(t *testing.T) (*rig, chan registry.Cordons) {
	delivered := make(chan registry.Cordons, buffered)
	r := newRigWith(t, true, func(w *Watcher) {
		w.OnCordons = func(c registry.Cordons) { delivered <- c }
	})
	(<-r.config).answer(reply{doc: []byte("v1"), at: 5})
	(<-r.servers).answer(reply{view: view(5, "a")})
	(<-r.script.cordons).answer(reply{cordons: registry.Cordons{Revision: 5, Domains: []string{"north"}}})
	require.Equal(t, registry.Cordons{Revision: 5, Domains: []string{"north"}}, <-delivered)
	<-r.watchConfig
	<-r.watchServers
	return r, delivered
}

// TestFollowsCordons: domains are added and removed, and a watch continues from the revision that
// the last one returned, with or without a change.
func TestFollowsCordons(t *testing.T) {
	r, delivered := newCordonRig(t)
	defer r.stop()
	w := <-r.watchCordons
	require.Equal(t, storerev.Revision(5), w.from)
	w.answer(reply{domains: []registry.CordonChange{{Domain: "south"}, {Domain: "east"}, {Domain: "north", Lifted: true}}, at: 8})
	require.Equal(t, registry.Cordons{Revision: 8, Domains: []string{"east", "south"}}, <-delivered)

	w = <-r.watchCordons
	require.Equal(t, storerev.Revision(8), w.from)
	r.clock.Advance(WatchWait)
	w.answer(reply{at: 12})
	w = <-r.watchCordons
	require.Equal(t, storerev.Revision(12), w.from)
	w.answer(reply{domains: []registry.CordonChange{{Domain: "east", Lifted: true}}, at: 13})
	require.Equal(t, registry.Cordons{Revision: 13, Domains: []string{"south"}}, <-delivered)
	require.Empty(t, delivered)
}

// TestCordonsAreReadAnew: when the history is gone, the whole list is read again and replaces the
// known one.
func TestCordonsAreReadAnew(t *testing.T) {
	r, delivered := newCordonRig(t)
	defer r.stop()
	(<-r.watchCordons).answer(reply{err: ErrHistoryGone})
	(<-r.script.cordons).answer(reply{cordons: registry.Cordons{Revision: 40}})
	require.Equal(t, registry.Cordons{Revision: 40}, <-delivered)
	r.awaitPause()
	r.clock.Advance(minCycle)
	require.Equal(t, storerev.Revision(40), (<-r.watchCordons).from)
}

// TestOlderCordonsAreRefused: an answer that is older than an earlier one is not delivered.
func TestOlderCordonsAreRefused(t *testing.T) {
	r, delivered := newCordonRig(t)
	defer r.stop()
	(<-r.watchCordons).answer(reply{at: 4})
	r.awaitPause()
	require.Empty(t, delivered)
	require.False(t, r.watcher.Status().Reachable)
}
