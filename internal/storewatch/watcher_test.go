package storewatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dalebend/dalebend/internal/cowmap"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

var errDown = errors.New("no answer")

// rig is a watcher that runs against a script.
type rig struct {
	*script

	t       *testing.T
	clock   *clockwork.FakeClock
	watcher *Watcher
	active  atomic.Bool
	docs    chan string
	views   chan registry.View
	log     bytes.Buffer
	stop    func()
	done    chan error
}

// buffered is more than any test delivers.
const buffered = 16

func newRig(t *testing.T, active bool) *rig {
	return newRigWith(t, active, func(*Watcher) {})
}

// newRigWith starts a watcher with additional preparation.
func newRigWith(t *testing.T, active bool, prepare func(*Watcher)) *rig {
	r := &rig{
		script: newScript(),
		t:      t,
		clock:  clockwork.NewFakeClock(),
		docs:   make(chan string, buffered),
		views:  make(chan registry.View, buffered),
		done:   make(chan error, 1),
	}
	r.active.Store(active)
	r.watcher = &Watcher{
		Source:    r.script,
		Clock:     r.clock,
		Logger:    slog.New(slog.NewTextHandler(&r.log, nil)),
		Active:    r.active.Load,
		OnConfig:  func(doc []byte, _ int64) { r.docs <- string(doc) },
		OnServers: func(v registry.View) { r.views <- v },
	}
	prepare(r.watcher)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { r.done <- r.watcher.Run(ctx) }()
	r.stop = func() {
		cancel()
		require.ErrorIs(t, <-r.done, context.Canceled)
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	}
	return r
}

// start answers the first reads, at revision 5 with server a, and returns the two watches that
// follow.
func (r *rig) start() (config, servers call) {
	(<-r.config).answer(reply{doc: []byte("v1"), at: 5})
	require.Equal(r.t, "v1", <-r.docs)
	(<-r.servers).answer(reply{view: view(5, "a")})
	require.Equal(r.t, view(5, "a"), <-r.views)
	return <-r.watchConfig, <-r.watchServers
}

// awaitPause returns when the watcher waits on the clock.
func (r *rig) awaitPause() {
	require.NoError(r.t, r.clock.BlockUntilContext(r.t.Context(), 1))
}

func (r *rig) requireNoCalls() {
	select {
	case <-r.config:
	case <-r.watchConfig:
	case <-r.servers:
	case <-r.watchServers:
	default:
		return
	}
	require.Fail(r.t, "the watcher made a call")
}

func view(revision storerev.Revision, ids ...string) registry.View {
	var servers cowmap.Edit[registry.Server]
	for _, id := range ids {
		servers.Set(id, registry.Server{ID: id})
	}
	return registry.View{Revision: revision, Servers: servers.Map()}
}

func added(id string) registry.Change {
	return registry.Change{Server: registry.Server{ID: id}}
}

func removed(id string) registry.Change {
	return registry.Change{Server: registry.Server{ID: id}, Removed: true}
}

func TestReadsThenFollowsChanges(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	config, servers := r.start()
	require.Equal(t, storerev.Revision(5), config.from)
	require.Equal(t, storerev.Revision(5), servers.from)

	config.answer(reply{doc: []byte("v2"), at: 6})
	require.Equal(t, "v2", <-r.docs)
	require.Equal(t, storerev.Revision(6), (<-r.watchConfig).from)

	servers.answer(reply{changes: []registry.Change{added("b"), removed("a")}, at: 8})
	require.Equal(t, view(8, "b"), <-r.views)
	servers = <-r.watchServers
	require.Equal(t, storerev.Revision(8), servers.from)
	servers.answer(reply{changes: []registry.Change{added("c")}, at: 9})
	require.Equal(t, view(9, "b", "c"), <-r.views)
}

func TestDeliveredViewsNeverChange(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	(<-r.config).answer(reply{at: 5})
	(<-r.servers).answer(reply{view: view(5, "a")})
	first := <-r.views
	(<-r.watchServers).answer(reply{changes: []registry.Change{removed("a"), added("b")}, at: 6})
	<-r.views
	require.Equal(t, view(5, "a"), first)
}

func TestAWatchWithoutChangesDeliversNothing(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	config, servers := r.start()
	r.clock.Advance(WatchWait)
	config.answer(reply{at: 7})
	servers.answer(reply{at: 7})
	require.Equal(t, storerev.Revision(7), (<-r.watchConfig).from)
	require.Equal(t, storerev.Revision(7), (<-r.watchServers).from)
	require.Empty(t, r.docs)
	require.Empty(t, r.views)
	require.Equal(t, r.clock.Now(), r.watcher.Status().LastContact)
}

func TestReadsAgainAfterAWatchThatBroke(t *testing.T) {
	for _, cause := range []error{ErrHistoryGone, ErrWatchCut, ErrWatchSilent} {
		t.Run(cause.Error(), func(t *testing.T) {
			r := newRig(t, true)
			defer r.stop()
			since := r.clock.Now()
			_, servers := r.start()
			r.clock.Advance(time.Second)
			servers.answer(reply{err: cause})
			(<-r.servers).answer(reply{view: view(20, "z")})
			require.Equal(t, view(20, "z"), <-r.views)
			require.Equal(t, storerev.Revision(20), (<-r.watchServers).from)
			require.Equal(t, since, r.watcher.Status().ReachableSince)
		})
	}
}

func TestWatchesThatEndAtOnceArePaced(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	_, servers := r.start()
	servers.answer(reply{err: ErrWatchCut})
	(<-r.servers).answer(reply{view: view(5, "a")})
	r.awaitPause()
	r.requireNoCalls()
	r.clock.Advance(minCycle)
	<-r.watchServers
}

func TestACutWatchOfAStoreThatIsAwayIsAFailure(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	_, servers := r.start()
	servers.answer(reply{err: ErrWatchCut})
	(<-r.servers).answer(reply{err: errDown})
	r.awaitPause()
	require.False(t, r.watcher.Status().Reachable)
}

func TestASilentWatchIsInDoubtUntilTheNextCall(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	since := r.clock.Now()
	config, servers := r.start()
	r.clock.Advance(WatchWait)
	servers.answer(reply{err: ErrWatchSilent})
	read := <-r.servers
	require.Equal(t, Status{LastContact: since, ReachableSince: since}, r.watcher.Status())

	// Both watches may be doubtful at once.
	config.answer(reply{err: ErrWatchSilent})
	(<-r.config).answer(reply{doc: []byte("v1"), at: 5})
	read.answer(reply{view: view(5, "a")})
	<-r.watchConfig
	servers = <-r.watchServers
	now := r.clock.Now()
	require.Equal(t, Status{Reachable: true, LastContact: now, ReachableSince: since}, r.watcher.Status())

	// If the next call fails too, the store is away.
	r.clock.Advance(WatchWait)
	servers.answer(reply{err: ErrWatchSilent})
	(<-r.servers).answer(reply{err: errDown})
	r.awaitPause()
	r.clock.Advance(maxRetryDelay + maxRetryDelay/2)
	(<-r.config).answer(reply{doc: []byte("v1"), at: 5})
	<-r.servers
	require.Equal(t, r.clock.Now(), r.watcher.Status().ReachableSince)
}

func TestAFailureReadsEverythingAnew(t *testing.T) {
	r := newRig(t, true)
	config, _ := r.start()
	require.True(t, r.watcher.Status().Reachable)
	lastContact := r.clock.Now()

	r.clock.Advance(WatchWait)
	config.answer(reply{err: errDown})
	var lastFailure time.Time
	for range 3 {
		r.awaitPause()
		lastFailure = r.clock.Now()
		require.Equal(t, Status{
			LastContact:    lastContact,
			ReachableSince: lastContact,
			LastFailure:    lastFailure,
		}, r.watcher.Status())
		r.requireNoCalls()
		r.clock.Advance(maxRetryDelay + maxRetryDelay/2)
		(<-r.config).answer(reply{err: errDown})
	}
	r.awaitPause()
	lastFailure = r.clock.Now()
	r.clock.Advance(maxRetryDelay + maxRetryDelay/2)
	back := r.clock.Now()
	(<-r.config).answer(reply{doc: []byte("v1"), at: 5})
	servers := <-r.servers
	require.Equal(t, Status{
		Reachable:      true,
		LastContact:    lastContact,
		ReachableSince: back,
		LastFailure:    lastFailure,
	}, r.watcher.Status(), "the servers are not known yet")
	// The same revision is delivered again: the entries are confirmed.
	servers.answer(reply{view: view(5, "a")})
	require.Equal(t, view(5, "a"), <-r.views)
	<-r.watchServers
	require.Equal(t, Status{
		Reachable:      true,
		LastContact:    back,
		ReachableSince: back,
		LastFailure:    lastFailure,
	}, r.watcher.Status())
	require.Empty(t, r.docs, "an unchanged document is not delivered again")

	r.stop()
	away := fmt.Sprintf("away_ms=%d\n", (back.Sub(lastContact) - WatchWait).Milliseconds())
	require.Len(t, regexp.MustCompile(`msg=store-lost cause=.* away_ms=2000\n`).FindAllString(r.log.String(), -1), 1)
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=store-lost"))
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=store-regained "+away))
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=store-regained"))
}

func TestAnOlderStateIsNeverDelivered(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	_, servers := r.start()
	servers.answer(reply{changes: []registry.Change{added("b")}, at: 9})
	require.Equal(t, view(9, "a", "b"), <-r.views)

	(<-r.watchServers).answer(reply{err: ErrHistoryGone})
	(<-r.servers).answer(reply{view: view(8, "a")})
	r.awaitPause()
	require.False(t, r.watcher.Status().Reachable)

	r.clock.Advance(maxRetryDelay + maxRetryDelay/2)
	(<-r.config).answer(reply{doc: []byte("v0"), at: 4})
	r.awaitPause()
	require.Empty(t, r.docs)
	require.Empty(t, r.views)
}

func TestKeepsADeletedConfiguration(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	config, _ := r.start()
	r.clock.Advance(time.Second)
	config.answer(reply{at: 6})
	(<-r.watchConfig).answer(reply{doc: []byte("v2"), at: 7})
	require.Equal(t, "v2", <-r.docs)
}

func TestAnInactiveWatcherMakesNoCalls(t *testing.T) {
	r := newRig(t, false)
	defer r.stop()
	r.watcher.Wake()
	r.requireNoCalls()
	require.Equal(t, Status{}, r.watcher.Status())

	r.active.Store(true)
	r.watcher.Wake()
	config, servers := r.start()
	require.True(t, r.watcher.Status().Reachable)

	r.active.Store(false)
	r.watcher.Wake()
	// Both watches are abandoned while they wait.
	r.awaitInactive()
	config.answer(reply{doc: []byte("late"), at: 6})
	servers.answer(reply{changes: []registry.Change{added("late")}, at: 6})
	require.Empty(t, r.docs)
	require.Empty(t, r.views)
	r.requireNoCalls()

	r.active.Store(true)
	r.watcher.Wake()
	(<-r.config).answer(reply{doc: []byte("v1"), at: 7})
	(<-r.servers).answer(reply{view: view(7, "a", "b")})
	require.Equal(t, view(7, "a", "b"), <-r.views)
}

// awaitInactive returns when the watcher is inactive.
func (r *rig) awaitInactive() {
	require.Eventually(r.t, func() bool { return !r.watcher.Status().Reachable },
		time.Minute, time.Millisecond)
}

func TestStopsWatchingAfterAWatchWithoutBeingWoken(t *testing.T) {
	r := newRig(t, true)
	defer r.stop()
	config, _ := r.start()
	r.active.Store(false)
	r.clock.Advance(WatchWait)
	config.answer(reply{at: 6})
	r.awaitInactive()
	r.requireNoCalls()
}
