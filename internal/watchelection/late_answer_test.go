package watchelection_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/peerstate"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
	"github.com/dalebend/dalebend/internal/storewatch"
	"github.com/dalebend/dalebend/internal/watchelection"
)

// lateSource is a store without changes whose answers to watches arrive late, and not any more once it is cut.
type lateSource struct {
	storewatch.Source

	by time.Duration

	mu  sync.Mutex
	cut bool
	// givenAt is when the last answer that arrived was given.
	givenAt time.Time
}

func (s *lateSource) Config(context.Context) ([]byte, storerev.Revision, error) {
	return []byte("v1"), 1, nil
}

func (s *lateSource) Servers(context.Context) (registry.View, error) {
	return registry.View{Revision: 1}, nil
}

func (s *lateSource) WatchConfig(ctx context.Context, from storerev.Revision, wait time.Duration) ([]byte, storerev.Revision, error) {
	return nil, from, s.watch(ctx, wait)
}

func (s *lateSource) WatchServers(ctx context.Context, from storerev.Revision, wait time.Duration) ([]registry.Change, storerev.Revision, error) {
	return nil, from, s.watch(ctx, wait)
}

func (s *lateSource) watch(ctx context.Context, wait time.Duration) error {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(wait)
	given := time.Now()
	time.Sleep(s.by)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.givenAt = given
	return nil
}

// TestAnswersReadLateAreNoticedInTime: a box asks the store within the bound since the last answer was given, not since it was read.
func TestAnswersReadLateAreNoticedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := lateClock{Clock: clockwork.NewRealClock(), by: 50 * time.Millisecond}
		relying := second()
		live := relying.live
		leader := live[0]
		if leader.Name == relying.election.Self.Name {
			leader = live[1]
		}
		table := &peerstate.Table{Clock: clock}
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		defer done.Wait()
		defer cancel()

		store := &lateSource{by: 300 * time.Millisecond}
		leads := newWatcher(store, clock)
		first := &watchelection.Election{
			Clock: clock, Self: leader, Peers: &peerstate.Table{Clock: clock}, Live: func() []member.Box { return live },
			Store: leads.Status, Started: clock.Now().Add(-time.Minute),
		}
		leads.Active, leads.Wait, leads.KnownEvery = func() bool { return true }, first.WatchWait, first.KnownEvery
		leads.OnContact = func() {
			age := clock.Since(leads.Status().LastContact)
			table.Update(&digest.Digest{Box: leader.Name, StoreTried: true, StoreReachable: true, StoreAgeMs: int32(age.Milliseconds())})
		}
		done.Go(func() { _ = leads.Run(ctx) })
		synctest.Wait()

		asked := &askedSource{asked: make(chan time.Time, 1)}
		relies := newWatcher(asked, clock)
		relies.Draw = func() float64 { return 0.999 }
		e := &watchelection.Election{
			Clock: clock, Self: relying.election.Self, Peers: table, Live: func() []member.Box { return live }, Store: relies.Status,
			LastContact: func() time.Time { return leads.Status().LastContact }, Started: clock.Now().Add(-time.Minute),
		}
		relies.Active = func() bool { follows, _ := e.Decide(); return follows }
		relies.Unconfirmed, relies.Seekers, relies.Wait = e.Unconfirmed, e.Seekers, e.WatchWait
		done.Go(func() { _ = relies.Run(ctx) })

		time.Sleep(5 * time.Second)
		store.mu.Lock()
		store.cut = true
		store.mu.Unlock()
		at := <-asked.asked
		store.mu.Lock()
		defer store.mu.Unlock()
		require.LessOrEqual(t, at.Sub(store.givenAt), 1700*time.Millisecond)
		require.Greater(t, at, store.givenAt, "no call while the contact is fresh")
	})
}

func newWatcher(source storewatch.Source, clock clockwork.Clock) *storewatch.Watcher {
	return &storewatch.Watcher{
		Source: source, Clock: clock, Logger: slog.New(slog.DiscardHandler), RecheckInterval: watchelection.RecheckInterval,
		OnConfig: func([]byte, int64) {}, OnServers: func(registry.View) {},
	}
}
