// Package peerlag logs which other boxes act on an older view of the backend servers than this one.
//
// A box that sends requests by an old view may not know it, and its own log may be lost. Its heartbeats state the
// view that it holds.
package peerlag

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/storerev"
)

const (
	// defaultBound is the Bound if none is set.
	defaultBound = 2 * time.Second
	// maxHeld is how many of the last revisions are kept with their times. While servers are replaced ten come per
	// second.
	maxHeld = 64
)

// Tracker is safe for concurrent use. Set the exported fields before use.
type Tracker struct {
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Bound is the time within which all boxes must know a change; 0 means 2 s.
	Bound time.Duration

	mu sync.Mutex
	// held are the last revisions of this box, in order, with the times since when it holds them.
	held []revision
	// behind holds the peers that were logged as being behind, with the time since when.
	behind map[string]time.Time
}

type revision struct {
	at    storerev.Revision
	since time.Time
}

// RecordOwn records a newer revision of this box.
func (t *Tracker) RecordOwn(at storerev.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.held) == maxHeld {
		t.held = append(t.held[:0], t.held[1:]...)
	}
	t.held = append(t.held, revision{at: at, since: t.Clock.Now()})
}

// RecordPeer records the revision that a peer has stated just now, and logs once that it has been behind this box for
// Bound, and when it is not any more.
func (t *Tracker) RecordPeer(peer string, at storerev.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, behind := t.missing(at)
	logged, known := t.behind[peer]
	now := t.Clock.Now()
	switch {
	case !behind && known:
		delete(t.behind, peer)
		t.log(event.PeerCaughtUp, peer, now.Sub(logged), at)
	case behind && !known && now.Sub(since) >= t.bound():
		if t.behind == nil {
			t.behind = make(map[string]time.Time)
		}
		t.behind[peer] = since
		t.log(event.PeerBehind, peer, now.Sub(since), at)
	}
}

// Forget forgets a peer that is lost.
func (t *Tracker) Forget(peer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.behind, peer)
}

// missing returns since when this box holds the first revision after one, and whether there is such. The lock must be
// held.
func (t *Tracker) missing(at storerev.Revision) (time.Time, bool) {
	if n := len(t.held); n == 0 || t.held[n-1].at <= at {
		return time.Time{}, false
	}
	i, _ := slices.BinarySearchFunc(t.held, at+1, func(r revision, at storerev.Revision) int { return cmp.Compare(r.at, at) })
	return t.held[i].since, true
}

func (t *Tracker) bound() time.Duration {
	if t.Bound > 0 {
		return t.Bound
	}
	return defaultBound
}

func (t *Tracker) log(name event.Name, peer string, behind time.Duration, at storerev.Revision) {
	t.Logger.LogAttrs(context.Background(), name.Level(), string(name), slog.String(event.KeyPeer, peer),
		slog.Int64(event.KeyBehind, behind.Milliseconds()), slog.Int64(event.KeyRevision, at.Number()), slog.Int64(event.KeyEra, at.Era()))
}
