package registry_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// TestLeftServerGetsNoContinuation: work that a leaving or gone server holds goes on there for a second at most.
func TestLeftServerGetsNoContinuation(t *testing.T) {
	for name, change := range map[string]registry.Change{
		"draining": {Server: registry.Server{ID: "a", Service: "chat", State: registry.Draining}},
		"gone":     {Server: registry.Server{ID: "a"}, Removed: true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			d := &registry.Directory{Clock: clock, StoreReturned: func() time.Time { return time.Time{} }}
			require.False(t, d.MayContinue("a"))
			v := registry.View{}.With([]registry.Change{{Server: registry.Server{ID: "a", Service: "chat"}}}, 1)
			d.Set(&v)
			require.True(t, d.MayContinue("a"))
			v2 := v.With([]registry.Change{change}, 2)
			d.Set(&v2)
			require.False(t, d.Takes("a"))
			require.True(t, d.MayContinue("a"))
			clock.Advance(600 * time.Millisecond)
			d.Set(&v2)
			clock.Advance(400 * time.Millisecond)
			require.False(t, d.MayContinue("a"), "a later view does not start the time anew")
		})
	}
}

// TestContinueGraceIsSet: the time for which work may go on at a server that leaves is the one that is set.
func TestContinueGraceIsSet(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	d := &registry.Directory{Clock: clock, StoreReturned: func() time.Time { return time.Time{} }, ContinueGrace: 2 * time.Second}
	v := registry.View{}.With([]registry.Change{{Server: registry.Server{ID: "a", Service: "chat"}}}, 1)
	d.Set(&v)
	d.Set(&registry.View{Revision: 2})
	clock.Advance(2*time.Second - 1)
	require.True(t, d.MayContinue("a"))
	clock.Advance(1)
	require.False(t, d.MayContinue("a"))
}

// TestLapsedServerGetsNoContinuation: the time for an entry that vanished in an outage is not followed by another one.
func TestLapsedServerGetsNoContinuation(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	returned := clock.Now()
	d := &registry.Directory{Clock: clock, StoreReturned: func() time.Time { return returned }}
	v := registry.View{}.With([]registry.Change{{Server: registry.Server{ID: "a", Service: "chat"}}}, 1)
	d.Set(&v)
	d.Set(&registry.View{Revision: 2})
	require.True(t, d.MayContinue("a"))
	clock.Advance(2 * time.Second)
	require.False(t, d.MayContinue("a"))
	d.Set(&registry.View{Revision: 3})
	require.False(t, d.MayContinue("a"))
}

// instanceOf returns the entry of an instance of server "a".
func instanceOf(born int64, state registry.State) registry.Server {
	return registry.Server{ID: registry.InstanceID("a", born), Born: born, Service: "chat", State: state}
}

// set applies the view that follows from another one by an entry, and returns it.
func set(d *registry.Directory, v registry.View, entry registry.Server, revision storerev.Revision) registry.View {
	next := v.With([]registry.Change{{Server: entry}}, revision)
	d.Set(&next)
	return next
}

// TestLeavingIsBelievedWhateverTheStart: a server whose entry says that it leaves gets nothing, although the entry is of an
// earlier start than the one that is known.
func TestLeavingIsBelievedWhateverTheStart(t *testing.T) {
	for name, entries := range map[string][]registry.Server{
		"at once":                    {instanceOf(2_000_000, registry.Ready), instanceOf(1_000_000, registry.Draining)},
		"after it was ready":         {instanceOf(2_000_000, registry.Ready), instanceOf(1_000_000, registry.Ready), instanceOf(1_000_000, registry.Draining)},
		"after another entry was so": {instanceOf(3_000_000, registry.Ready), instanceOf(1_000_000, registry.Draining), instanceOf(2_000_000, registry.Draining)},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			d := &registry.Directory{Clock: clock, StoreReturned: func() time.Time { return time.Time{} }}
			var v registry.View
			for i, entry := range entries {
				clock.Advance(time.Second)
				v = set(d, v, entry, storerev.Revision(i+1))
			}
			require.Empty(t, d.Service("chat"))
			for _, entry := range entries {
				require.False(t, d.Takes(entry.ID), entry.ID)
			}
			set(d, v, entries[0], 10)
			require.True(t, d.Takes(entries[0].ID), "a late write of an earlier start is over")
		})
	}
}

// TestLateWriteBringsNoLeavingServerBack: an instance that was leaving gets nothing more though its entry says again that
// it is ready. Its next start gets requests.
func TestLateWriteBringsNoLeavingServerBack(t *testing.T) {
	for name, born := range map[string]int64{"start not told": 0, "start told": 2_000_000} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			d := &registry.Directory{Clock: clock, StoreReturned: func() time.Time { return time.Time{} }}
			var v registry.View
			for i, state := range []registry.State{registry.Ready, registry.Draining, registry.Ready} {
				clock.Advance(3 * time.Second)
				v = set(d, v, instanceOf(born, state), storerev.Revision(i+1))
			}
			require.False(t, d.Takes(registry.InstanceID("a", born)))
			require.Empty(t, d.Service("chat"))
			next := instanceOf(3_000_000, registry.Ready)
			set(d, v, next, 4)
			require.True(t, d.Takes(next.ID))
		})
	}
}
