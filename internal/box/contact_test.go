package box

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/boxsettings"
	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/heldup"
	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/peerstate"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
	"github.com/dalebend/dalebend/internal/storewatch"
	"github.com/dalebend/dalebend/internal/viewshare"
	"github.com/dalebend/dalebend/internal/watchelection"
)

// newContactBox returns a box that knows the store from one peer.
func newContactBox(clock clockwork.Clock) *Box {
	b := &Box{Clock: clock, peers: &peerstate.Table{Clock: clock}, contact: make(chan struct{}), share: &viewshare.Share{}}
	b.election = &watchelection.Election{
		Clock: clock, Peers: b.peers, Store: func() storewatch.Status { return storewatch.Status{} },
		Live: func() []member.Box { return nil }, LastContact: b.outages.LastContact, Confirmed: b.fresh.Confirmed,
	}
	b.directory = &registry.Directory{Clock: clock, StoreReturned: b.outages.Returned}
	return b
}

// receiveContact takes a peer's report whether it reaches the store.
func receiveContact(b *Box, reaches bool) {
	d := &digest.Digest{Box: "p", StoreTried: true, StoreReachable: reaches}
	b.peers.Update(d)
	b.recordPeerContact(d)
	b.updateContact()
}

// TestVanishedServerIsNotKeptByFailures: a server whose entry went in an outage is used for less than 2 s after that was
// read, though calls to the store go on to fail now and then.
func TestVanishedServerIsNotKeptByFailures(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	b := newContactBox(clock)
	receiveContact(b, true)
	known := registry.View{}.With([]registry.Change{{Server: registry.Server{ID: "a", Service: "chat"}}}, 1)
	b.directory.Set(&known)
	clock.Advance(time.Second)
	receiveContact(b, false)
	clock.Advance(4 * time.Second)
	receiveContact(b, true)
	b.directory.Set(&registry.View{Revision: 2})
	require.True(t, b.directory.Takes("a"), "it may have lapsed")
	read := clock.Now()
	for revision := storerev.Revision(3); clock.Since(read) < 4*time.Second; revision++ {
		clock.Advance(100 * time.Millisecond)
		receiveContact(b, false)
		clock.Advance(300 * time.Millisecond)
		receiveContact(b, true)
		b.directory.Set(&registry.View{Revision: revision})
		require.Equal(t, clock.Since(read) < 1800*time.Millisecond, b.directory.Takes("a"), "%v later", clock.Since(read))
	}
}

// TestServerGoneInAShortGapIsNotKept: a server whose entry went while the boxes that follow the store were cut off from it is
// not taken for one that lapsed.
func TestServerGoneInAShortGapIsNotKept(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	b := newContactBox(clock)
	receiveContact(b, true)
	known := registry.View{}.With([]registry.Change{{Server: registry.Server{ID: "a", Service: "chat"}}}, 1)
	b.directory.Set(&known)
	clock.Advance(time.Second)
	receiveContact(b, false)
	clock.Advance(500 * time.Millisecond)
	receiveContact(b, true)
	b.directory.Set(&registry.View{Revision: 2})
	require.False(t, b.directory.Takes("a"))
}

// TestServerGoneDuringAPauseIsNotKept: a time in which the process was not run is no outage of the store.
func TestServerGoneDuringAPauseIsNotKept(t *testing.T) {
	for name, c := range map[string]struct {
		pause, steps time.Duration
		kept         bool
	}{
		"paused":              {pause: 3 * time.Second},
		"paused in an outage": {pause: 3 * time.Second, steps: 2200 * time.Millisecond, kept: true},
		"an outage":           {steps: 3 * time.Second, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			b := newContactBox(clock)
			b.Logger = slog.New(slog.DiscardHandler)
			b.HeldUp = &heldup.Detector{Clock: clock, OnHeldUp: b.onHeldUp}
			receiveContact(b, true)
			known := registry.View{}.With([]registry.Change{{Server: registry.Server{ID: "a", Service: "chat"}}}, 1)
			b.directory.Set(&known)
			clock.Advance(c.pause)
			receiveContact(b, false)
			for range c.steps / (100 * time.Millisecond) {
				clock.Advance(100 * time.Millisecond)
				receiveContact(b, false)
			}
			receiveContact(b, true)
			b.directory.Set(&registry.View{Revision: 2})
			require.Equal(t, c.kept, b.directory.Takes("a"))
		})
	}
}

// rankSecond names a box so that the peer "p" of its failure domain follows the store and it does not.
func rankSecond(b *Box) {
	follows := true
	for n := 0; follows; n++ {
		b.election.Self = member.Box{Name: fmt.Sprint(n), Domain: "x"}
		live := []member.Box{{Name: "p", Domain: "x"}, b.election.Self}
		b.election.Live = func() []member.Box { return live }
		follows, _ = b.election.Decide()
	}
}

// TestContactOfUnknownChangesIsNotRelied: a box asks the store itself, within the bound, while a peer that is in contact
// has changes that do not arrive here.
func TestContactOfUnknownChangesIsNotRelied(t *testing.T) {
	for name, newer := range map[string]digest.Digest{
		"servers": {ViewRevision: 5}, "configuration": {ConfigVersion: 5}, "cordons": {CordonRevision: 5},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			b := newContactBox(clock)
			receiveContact(b, true)
			rankSecond(b)
			asked := time.Duration(0)
			for since := 100 * time.Millisecond; asked == 0 && since < 2*time.Second; since += 100 * time.Millisecond {
				clock.Advance(100 * time.Millisecond)
				d := newer
				d.Box, d.StoreTried, d.StoreReachable = "p", true, true
				b.peers.Update(&d)
				b.recordPeerContact(&d)
				if follows, _ := b.election.Decide(); follows {
					asked = since
				}
			}
			require.Equal(t, 1300*time.Millisecond, asked)
			require.Positive(t, b.election.Unconfirmed())
		})
	}
}

// TestContinuationsEndWithinTheBound: what goes on at a server that leaves ends within 2 s after it began to leave, also if
// the box heard that late.
func TestContinuationsEndWithinTheBound(t *testing.T) {
	for _, late := range []time.Duration{0, 700 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
			b := newContactBox(clock)
			b.Settings = &boxsettings.Settings{ChangeBound: 2 * time.Second}
			b.buildServers()
			b.directory.OnLeft = nil
			known := registry.View{}.With([]registry.Change{{Server: registry.Server{ID: "a", Service: "chat"}}}, 1)
			b.directory.Set(&known)
			receiveContact(b, true)
			clock.Advance(late)
			leaving := known.With([]registry.Change{{Server: registry.Server{ID: "a", Service: "chat", State: registry.Draining}}}, 2)
			b.directory.Set(&leaving)
			clock.Advance(2*time.Second - late)
			require.False(t, b.directory.MayContinue("a"))
		})
	}
}

// TestBoxAsksTheStoreAfterALongPause: a box that was paused does not rely on reports of its peers, which may have waited
// meanwhile, and has caught up once it has asked the store, or found out that it can't.
func TestBoxAsksTheStoreAfterALongPause(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
	b := newContactBox(clock)
	b.Logger = slog.New(slog.DiscardHandler)
	status := storewatch.Status{}
	b.watcher = &storewatch.Watcher{}
	b.election.Store = func() storewatch.Status { return status }
	b.election.Confirmed = b.informedUntil
	b.HeldUp = &heldup.Detector{Clock: clock, OnHeldUp: b.onHeldUp, LongPause: 700 * time.Millisecond}
	b.HeldUp.Check()
	receiveContact(b, true)
	rankSecond(b)
	clock.Advance(800 * time.Millisecond)
	resumed := b.HeldUp.Resumed()
	require.Equal(t, clock.Now(), resumed)
	clock.Advance(20 * time.Millisecond)
	receiveContact(b, true)
	follows, _ := b.election.Decide()
	require.True(t, follows)
	require.False(t, b.caughtUp(resumed))
	status.LastContact = clock.Now()
	b.recordOwnContact()
	require.True(t, b.caughtUp(resumed))
	follows, _ = b.election.Decide()
	require.False(t, follows)
}
