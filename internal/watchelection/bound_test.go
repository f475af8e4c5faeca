package watchelection_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
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

// second returns the rig of the box that does not rank first of two in a failure domain.
func second() *rig {
	live := []member.Box{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}}
	first := active(live, func(*rig) {})[0]
	for _, box := range live {
		if box.Name != first {
			return newRig(box, live...)
		}
	}
	return nil
}

// TestOldContactIsNotRelied: a box asks the store itself once the last known contact is older than a part of the bound.
func TestOldContactIsNotRelied(t *testing.T) {
	for bound, fresh := range map[time.Duration]time.Duration{
		0: 1200 * time.Millisecond, time.Millisecond: 300 * time.Millisecond, time.Second: 600 * time.Millisecond,
		2 * time.Second: 1200 * time.Millisecond, 8 * time.Second: watchelection.MaxContactAge, 1<<63 - 1: watchelection.MaxContactAge,
	} {
		r := second()
		r.election.ChangeBound = bound
		r.election.LastContact = func() time.Time { return r.clock.Now().Add(-r.peers.age) }
		r.peers.age = fresh
		follows, _ := r.election.Decide()
		require.False(t, follows, bound)
		require.Zero(t, r.election.Unconfirmed())
		r.peers.age++
		follows, reason := r.election.Decide()
		require.True(t, follows, bound)
		require.Equal(t, 2, r.election.Unconfirmed())
		require.Equal(t, "there was no word of a contact with the store for a while", reason)
		r.peers.contact = false
		require.Equal(t, 2, r.election.Unconfirmed(), "others have lost it")
		r.store.LastFailure = r.clock.Now()
		require.Zero(t, r.election.Unconfirmed(), "this box does not reach it either")
		require.Equal(t, 2, r.election.Seekers())
	}
}

// TestOldContactTakesNothingBack: a box that took over goes on while the box that ranks first was not in contact since.
func TestOldContactTakesNothingBack(t *testing.T) {
	r := second()
	r.store.Reachable = true
	r.peers.reaches = map[string]bool{"a": true, "b": true}
	r.peers.age = 1201 * time.Millisecond
	follows, _ := r.election.Decide()
	require.True(t, follows)
	r.peers.age = 0
	follows, _ = r.election.Decide()
	require.False(t, follows)
}

// TestOneBoxHearsFromTheStoreOften: only the box that the others rely on has its watch answered more often.
func TestOneBoxHearsFromTheStoreOften(t *testing.T) {
	a, b := member.Box{Name: "a", Domain: "x"}, member.Box{Name: "b", Domain: "y"}
	var waits []time.Duration
	for _, self := range []member.Box{a, b} {
		r := newRig(self, a, b)
		waits = append(waits, r.election.WatchWait())
		require.Equal(t, waits[len(waits)-1] < storewatch.WatchWait, r.election.Leads())
		r.peers.contact = false
		require.Equal(t, 700*time.Millisecond, r.election.WatchWait())
		r.election.ChangeBound = 1<<63 - 1
		require.Equal(t, storewatch.WatchWait, r.election.WatchWait())
	}
	require.ElementsMatch(t, []time.Duration{700 * time.Millisecond, storewatch.WatchWait}, waits)
}

var errAsked = errors.New("asked")

// askedSource tells when the store is asked first.
type askedSource struct {
	storewatch.Source

	asked chan time.Time
}

func (s *askedSource) Config(context.Context) ([]byte, storerev.Revision, error) {
	select {
	case s.asked <- time.Now():
	default:
	}
	return nil, 0, errAsked
}

// TestCutFollowersAreNoticedInTime: a box asks the store well within the bound of 2 s if the boxes that follow the store
// for it lose it, the last contact being as fresh as it can be, whether they report that meanwhile or not.
func TestCutFollowersAreNoticedInTime(t *testing.T) {
	for _, reported := range []bool{false, true} {
		for late, most := range map[time.Duration]time.Duration{0: 1500 * time.Millisecond, 50 * time.Millisecond: 1700 * time.Millisecond} {
			t.Run(fmt.Sprintf("reported=%t late=%v", reported, late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { requireAskedInTime(t, reported, late, most) })
			})
		}
	}
}

// lateClock is a clock whose timers fire late, as on a slow processor.
type lateClock struct {
	clockwork.Clock

	by time.Duration
}

func (c lateClock) NewTimer(d time.Duration) clockwork.Timer { return c.Clock.NewTimer(d + c.by) }

// requireAskedInTime requires that the store is asked within a time, with timers that are late. The rest of the bound is for the
// call, a pause of the process (0.1 s) and a dial (0.2 s).
func requireAskedInTime(t *testing.T, reported bool, late, most time.Duration) {
	clock := lateClock{Clock: clockwork.NewRealClock(), by: late}
	table := &peerstate.Table{Clock: clock}
	rig := second()
	live := rig.live
	for i := range 7 {
		live = append(live, member.Box{Name: fmt.Sprintf("other-%d", i), Domain: "y"})
	}
	source := &askedSource{asked: make(chan time.Time, 1)}
	w := &storewatch.Watcher{
		Source: source, Clock: clock, Logger: slog.New(slog.DiscardHandler),
		OnConfig: func([]byte, int64) {}, OnServers: func(registry.View) {},
		Draw: func() float64 { return 0.999 }, RecheckInterval: watchelection.RecheckInterval,
	}
	began := clock.Now()
	e := &watchelection.Election{
		Clock: clock, Self: rig.election.Self, Peers: table, Live: func() []member.Box { return live }, Store: w.Status,
		LastContact: func() time.Time { return began }, Started: began.Add(-time.Minute),
	}
	w.Active = func() bool { follows, _ := e.Decide(); return follows }
	w.Unconfirmed, w.Seekers, w.Wait = e.Unconfirmed, e.Seekers, e.WatchWait
	first := live[0].Name
	if first == rig.election.Self.Name {
		first = live[1].Name
	}
	table.Update(&digest.Digest{Box: first, StoreTried: true, StoreReachable: true})
	if reported {
		lost := clock.AfterFunc(1250*time.Millisecond, func() { table.Update(&digest.Digest{Box: first, StoreTried: true}) })
		defer lost.Stop()
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	asked := (<-source.asked).Sub(began)
	cancel()
	<-done
	require.Greater(t, asked, 1200*time.Millisecond, "no call while the contact is fresh")
	require.LessOrEqual(t, asked, most)
}
