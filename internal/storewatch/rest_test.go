package storewatch

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

const testRest = 700 * time.Millisecond

// newDelayedRig returns a rig whose watcher delays watches after changes and continues from the
// view that the test stores.
func newDelayedRig(t *testing.T) (*rig, *atomic.Pointer[registry.View]) {
	r := newRig(t, false)
	known := &atomic.Pointer[registry.View]{}
	r.watcher.RewatchDelay = func(int) time.Duration { return testRest }
	r.watcher.NewestView = known.Load
	r.active.Store(true)
	r.watcher.Wake()
	return r, known
}

// TestRestsAfterAChange: the next watch begins after the delay, and its wait is shorter by it.
func TestRestsAfterAChange(t *testing.T) {
	r, _ := newDelayedRig(t)
	defer r.stop()
	config, servers := r.start()
	require.Equal(t, WatchWait, servers.wait)

	servers.answer(reply{changes: []registry.Change{added("b")}, at: 6})
	require.Equal(t, view(6, "a", "b"), <-r.views, "the change is delivered before the delay")
	r.awaitPause()
	r.clock.Advance(testRest - 1)
	r.requireNoCalls()
	r.clock.Advance(1)
	servers = <-r.watchServers
	require.Equal(t, storerev.Revision(6), servers.from)
	require.Equal(t, WatchWait-testRest, servers.wait)

	config.answer(reply{doc: []byte("v2"), at: 7})
	require.Equal(t, "v2", <-r.docs)
	config = <-r.watchConfig
	require.Equal(t, storerev.Revision(7), config.from, "the configuration is watched without a delay")
	require.Equal(t, WatchWait, config.wait)
}

// TestRestsForASecondAtMost: the delay is capped, as a longer one would hide changes for too long.
func TestRestsForASecondAtMost(t *testing.T) {
	r, _ := newDelayedRig(t)
	defer r.stop()
	_, servers := r.start()
	r.watcher.RewatchDelay = func(int) time.Duration { return time.Hour }
	servers.answer(reply{changes: []registry.Change{added("b")}, at: 6})
	<-r.views
	r.awaitPause()
	r.clock.Advance(maxRewatchDelay)
	require.Equal(t, WatchWait-maxRewatchDelay, (<-r.watchServers).wait)
}

// TestAWatchWithoutAChangeIsFollowedAtOnce: only changes are followed by a delay.
func TestAWatchWithoutAChangeIsFollowedAtOnce(t *testing.T) {
	r, _ := newDelayedRig(t)
	defer r.stop()
	_, servers := r.start()
	r.clock.Advance(WatchWait)
	servers.answer(reply{at: 6})
	require.Equal(t, WatchWait, (<-r.watchServers).wait)
}

// TestGoesOnFromWhatOthersTold: the next watch begins at a newer view from peers, and its changes
// are applied to that; an older one is ignored.
func TestGoesOnFromWhatOthersTold(t *testing.T) {
	r, known := newDelayedRig(t)
	defer r.stop()
	_, servers := r.start()
	servers.answer(reply{changes: []registry.Change{added("b")}, at: 6})
	<-r.views
	r.awaitPause()
	received := view(9, "b", "c")
	known.Store(&received)
	r.clock.Advance(testRest)
	servers = <-r.watchServers
	require.Equal(t, storerev.Revision(9), servers.from)
	servers.answer(reply{changes: []registry.Change{added("d")}, at: 10})
	require.Equal(t, view(10, "b", "c", "d"), <-r.views)
	require.Equal(t, view(9, "b", "c"), received, "a view of other boxes is never modified")

	r.awaitPause()
	r.clock.Advance(testRest)
	require.Equal(t, storerev.Revision(10), (<-r.watchServers).from)
}

// TestAChangeThatOthersTellOfIsNotTold: a change is delivered after the delivery delay, unless the
// box has received as new a view meanwhile; then the watch continues from that.
func TestAChangeThatOthersTellOfIsNotTold(t *testing.T) {
	const hold = 250 * time.Millisecond
	known := &atomic.Pointer[registry.View]{}
	r := newRigWith(t, false, func(w *Watcher) {
		w.DeliveryDelay = func() time.Duration { return hold }
		w.NewestView = known.Load
	})
	defer r.stop()
	r.active.Store(true)
	r.watcher.Wake()
	_, servers := r.start()

	servers.answer(reply{changes: []registry.Change{added("b")}, at: 6})
	r.awaitPause()
	r.clock.Advance(hold - 1)
	require.Empty(t, r.views)
	r.clock.Advance(1)
	require.Equal(t, view(6, "a", "b"), <-r.views)

	servers = <-r.watchServers
	servers.answer(reply{changes: []registry.Change{added("c")}, at: 7})
	r.awaitPause()
	received := view(8, "a", "b", "c", "d")
	known.Store(&received)
	r.clock.Advance(hold)
	require.Equal(t, storerev.Revision(8), (<-r.watchServers).from)
	require.Empty(t, r.views)
}
