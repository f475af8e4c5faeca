package storewatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/atomictime"
	"github.com/dalebend/dalebend/internal/registry"
)

// TestAnswerThatWaitedInAPauseIsOld: an answer to a call from before a long pause tells what was until the call.
func TestAnswerThatWaitedInAPauseIsOld(t *testing.T) {
	var resumed atomictime.Time
	r := newRigWith(t, false, func(w *Watcher) { w.Resumed = resumed.Load })
	defer r.stop()
	r.active.Store(true)
	r.watcher.Wake()
	config, servers := r.start()
	began := r.clock.Now()
	r.clock.Advance(time.Second)
	resumed.Store(r.clock.Now())
	config.answer(reply{at: 6})
	config = <-r.watchConfig
	servers.answer(reply{at: 6})
	servers = <-r.watchServers
	require.Equal(t, began, r.watcher.Status().LastContact)
	r.clock.Advance(500 * time.Millisecond)
	config.answer(reply{at: 6})
	<-r.watchConfig
	servers.answer(reply{at: 6})
	<-r.watchServers
	require.Equal(t, r.clock.Now(), r.watcher.Status().LastContact)
}

// TestAnswerReadLateIsDatedWhenItWasGiven: an answer without changes was given at the end of the wait, one with changes at any time
// after the call.
func TestAnswerReadLateIsDatedWhenItWasGiven(t *testing.T) {
	const late, every = 400 * time.Millisecond, WatchWait + 300*time.Millisecond
	r := newRigWith(t, false, func(w *Watcher) { w.KnownEvery = func() time.Duration { return every } })
	defer r.stop()
	r.active.Store(true)
	r.watcher.Wake()
	config, servers := r.start()
	began := r.clock.Now()
	r.clock.Advance(WatchWait + late)
	config.answer(reply{at: 6})
	config = <-r.watchConfig
	servers.answer(reply{at: 6})
	servers = <-r.watchServers
	require.Equal(t, began.Add(WatchWait), r.watcher.Status().LastContact)
	require.Equal(t, every-late, servers.wait)

	began = r.clock.Now()
	r.clock.Advance(time.Second)
	servers.answer(reply{changes: []registry.Change{added("b")}, at: 7})
	<-r.views
	servers = <-r.watchServers
	config.answer(reply{doc: []byte("v2"), at: 8})
	<-r.docs
	config = <-r.watchConfig
	require.Equal(t, began, r.watcher.Status().LastContact)
	require.Equal(t, []time.Duration{every - time.Second, every - time.Second}, []time.Duration{config.wait, servers.wait})
}

// TestReread: a watcher that follows the store reads the whole state again when asked to; one that does not is not called.
func TestReread(t *testing.T) {
	r := newRigWith(t, false, func(*Watcher) {})
	defer r.stop()
	r.watcher.Reread()
	r.requireNoCalls()
	r.active.Store(true)
	r.watcher.Wake()
	r.start()
	r.requireNoCalls()
	began := r.clock.Now()
	r.clock.Advance(100 * time.Millisecond)
	r.watcher.Reread()
	(<-r.config).answer(reply{doc: []byte("v2"), at: 6})
	require.Equal(t, "v2", <-r.docs)
	(<-r.servers).answer(reply{view: view(6, "a")})
	<-r.views
	<-r.watchServers
	require.Equal(t, began.Add(100*time.Millisecond), r.watcher.Status().LastContact)
}
