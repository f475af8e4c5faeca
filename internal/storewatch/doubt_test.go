package storewatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// TestFewAskFirst: of many boxes in doubt few ask the store in the first quarter of the time, and all do by its end.
func TestFewAskFirst(t *testing.T) {
	for boxes, most := range map[int]int{1: 1, 2: 1, 6: 2, 50: 3, 500: 5} {
		early := 0
		for i := range boxes {
			delay := recheckDelay((float64(i)+0.5)/float64(boxes), boxes)
			require.GreaterOrEqual(t, delay, time.Duration(0))
			require.LessOrEqual(t, delay, recheckSpread)
			if delay < recheckSpread/4 {
				early++
			}
		}
		require.LessOrEqual(t, early, most, "%d boxes", boxes)
		require.Positive(t, early)
	}
	require.Zero(t, recheckDelay(0, 500))
}

// TestBoxesInDoubtAskSoon: a box in doubt waits for its turn within doubtSpread, however many seek the store.
func TestBoxesInDoubtAskSoon(t *testing.T) {
	r := newRigWith(t, true, func(w *Watcher) {
		w.Seekers = func() int { return 500 }
		w.Unconfirmed = func() int { return 500 }
		w.Draw = func() float64 { return 0.999999 }
	})
	defer r.stop()
	r.awaitPause()
	r.clock.Advance(recheckSpread)
	<-r.config
}

// TestAsksAgainWhetherToFollow: an inactive watcher asks whether to follow the store without being woken.
func TestAsksAgainWhetherToFollow(t *testing.T) {
	r := newRigWith(t, false, func(w *Watcher) { w.RecheckInterval = time.Second })
	defer r.stop()
	r.awaitPause()
	r.requireNoCalls()
	r.active.Store(true)
	r.clock.Advance(time.Second)
	r.start()
}

// TestWatchesAreAnsweredOften: each watch waits for the given time, less the delay before it, and each answer is reported.
func TestWatchesAreAnsweredOften(t *testing.T) {
	contacts := make(chan time.Time, buffered)
	r := newRigWith(t, false, func(w *Watcher) {
		w.Wait = func() time.Duration { return testRest + 50*time.Millisecond }
		w.RewatchDelay = func(int) time.Duration { return testRest }
		w.OnContact = func() { contacts <- w.Clock.Now() }
	})
	defer r.stop()
	r.active.Store(true)
	r.watcher.Wake()
	config, servers := r.start()
	require.Equal(t, testRest+50*time.Millisecond, config.wait)
	require.Equal(t, testRest+50*time.Millisecond, servers.wait)
	require.Len(t, contacts, 1, "once the whole state is read")

	servers.answer(reply{at: 6})
	r.awaitPause()
	require.Len(t, contacts, 2)
	r.clock.Advance(minCycle)
	(<-r.watchServers).answer(reply{changes: []registry.Change{added("b")}, at: 7})
	<-r.views
	r.awaitPause()
	r.clock.Advance(testRest)
	require.Equal(t, minCycle, (<-r.watchServers).wait)
}

// TestNoContactWhileBehind: an answer that comes while changes of the servers are not watched or held back is no contact.
func TestNoContactWhileBehind(t *testing.T) {
	const hold = 250 * time.Millisecond
	r := newRigWith(t, false, func(w *Watcher) {
		w.RewatchDelay = func(int) time.Duration { return testRest }
		w.DeliveryDelay = func() time.Duration { return hold }
	})
	defer r.stop()
	r.active.Store(true)
	r.watcher.Wake()
	config, servers := r.start()
	began := r.clock.Now()

	servers.answer(reply{changes: []registry.Change{added("b")}, at: 6})
	r.awaitPause()
	r.clock.Advance(hold / 2)
	config.answer(reply{doc: []byte("v2"), at: 7})
	<-r.docs
	config = <-r.watchConfig
	require.Equal(t, began, r.watcher.Status().LastContact, "held back")

	r.clock.Advance(hold - hold/2)
	<-r.views
	r.awaitPause()
	require.Equal(t, began, r.watcher.Status().LastContact, "delivered later than it was read")
	r.clock.Advance(testRest / 2)
	config.answer(reply{doc: []byte("v3"), at: 8})
	<-r.docs
	config = <-r.watchConfig
	require.Equal(t, began, r.watcher.Status().LastContact, "not watched")
	require.True(t, r.watcher.Status().Reachable)

	r.clock.Advance(testRest - testRest/2)
	servers = <-r.watchServers
	config.answer(reply{doc: []byte("v4"), at: 9})
	<-r.docs
	<-r.watchConfig
	require.Equal(t, began, r.watcher.Status().LastContact, "watched, and not answered")
	r.clock.Advance(minCycle)
	servers.answer(reply{at: 9})
	<-r.watchServers
	began = r.clock.Now().Add(-minCycle - (testRest - testRest/2))
	require.Equal(t, began, r.watcher.Status().LastContact, "the watch of the configuration that brought a change began then")
}

// TestNoContactBeforeTheServersAreRead: a box that begins to follow the store has no contact before it knows all servers.
func TestNoContactBeforeTheServersAreRead(t *testing.T) {
	contacts := 0
	r := newRigWith(t, true, func(w *Watcher) { w.OnContact = func() { contacts++ } })
	defer r.stop()
	(<-r.config).answer(reply{doc: []byte("v1"), at: 5})
	require.Equal(t, "v1", <-r.docs)
	servers := <-r.servers // asked, and not answered yet
	require.True(t, r.watcher.Status().LastContact.IsZero())
	require.Zero(t, contacts)
	servers.answer(reply{err: errDown})
	r.awaitPause()
	require.True(t, r.watcher.Status().LastContact.IsZero(), "the servers were never read")
}

// TestNoContactWhileOneWatchIsSilent: answers to the watch of the configuration are no word of the servers, nor the other
// way round.
func TestNoContactWhileOneWatchIsSilent(t *testing.T) {
	for _, silent := range []string{"servers", "configuration"} {
		t.Run(silent, func(t *testing.T) {
			r := newRigWith(t, false, func(*Watcher) {})
			defer r.stop()
			r.active.Store(true)
			r.watcher.Wake()
			config, servers := r.start()
			began := r.clock.Now()
			for i := range 3 {
				r.clock.Advance(600 * time.Millisecond)
				if silent == "servers" {
					config.answer(reply{at: storerev.Revision(6 + i)})
					config = <-r.watchConfig
				} else {
					servers.answer(reply{at: storerev.Revision(6 + i)})
					servers = <-r.watchServers
				}
				require.Equal(t, began, r.watcher.Status().LastContact)
				require.True(t, r.watcher.Status().Reachable)
			}
		})
	}
}
