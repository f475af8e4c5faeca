// Package freshness tells up to what time a box knows all changes of the store.
//
// Boxes report their contacts with the store together with the versions that they hold. Such a report
// is no evidence that another box knows the changes up to then, only that it does once it holds those
// versions as well.
package freshness

import (
	"slices"
	"sync"
	"time"

	"github.com/dalebend/dalebend/internal/storerev"
)

// maxPending bounds the reports that wait for their versions: while servers are replaced, ten changes
// arrive per second, each within some 50 ms.
const maxPending = 16

// settleTime is how long it takes at most until the reports that arrived during a pause are read.
const settleTime = time.Second

// Versions are those of a box's state.
type Versions struct {
	// Config is the version of the configuration, View the revision of the servers, Cordons that of
	// the cordons; 0 if the box has none. The era of the configuration is left out: if it were not, no box would be
	// confirmed after a return of the store before it has fetched a document that it has already.
	Config        int64
	View, Cordons storerev.Revision
}

// covers reports whether a state with these versions includes one with others.
func (v Versions) covers(other Versions) bool {
	return v.Config >= other.Config && v.View >= other.View && v.Cordons >= other.Cordons
}

// Tracker is safe for concurrent use. The zero value holds no versions.
type Tracker struct {
	mu        sync.Mutex
	held      Versions
	confirmed time.Time
	// credible is the time from which on reports of others count.
	credible time.Time
	// pending holds reports of versions that this box lacks, by time.
	pending []report
}

// report is a box's report that at a time these versions included all changes.
type report struct {
	at       time.Time
	versions Versions
}

// RecordOwn records that this box knew all changes until a time, by its own contact with the store.
func (t *Tracker) RecordOwn(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.confirmed) {
		t.confirm(at)
	}
}

// RecordPause records that this process was not run until a time. The reports that waited meanwhile appear
// to be new, so that none counts whose time is less than settleTime later.
func (t *Tracker) RecordPause(resumed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.credible = resumed.Add(settleTime)
	t.pending = nil
}

// RecordReport records another box's report that it knew all changes until a time, and which versions it
// holds.
func (t *Tracker) RecordReport(at time.Time, versions Versions) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(t.confirmed) || at.Before(t.credible) {
		return
	}
	if t.held.covers(versions) {
		t.confirm(at)
		return
	}
	i, _ := slices.BinarySearchFunc(t.pending, at, func(r report, at time.Time) int { return r.at.Compare(at) })
	t.pending = slices.Insert(t.pending, i, report{at: at, versions: versions})
	if len(t.pending) > maxPending {
		t.pending = t.pending[1:]
	}
}

// RecordHeld records the versions that this box holds now.
func (t *Tracker) RecordHeld(held Versions) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Versions never fall; two callers may come here out of order.
	t.held = Versions{
		Config: max(t.held.Config, held.Config), View: max(t.held.View, held.View), Cordons: max(t.held.Cordons, held.Cordons),
	}
	for i := len(t.pending) - 1; i >= 0; i-- {
		if t.held.covers(t.pending[i].versions) {
			t.confirm(t.pending[i].at)
			return
		}
	}
}

// confirm records that all changes until a time are known. The lock must be held.
func (t *Tracker) confirm(at time.Time) {
	t.confirmed = at
	t.pending = slices.DeleteFunc(t.pending, func(r report) bool { return !r.at.After(at) })
}

// Confirmed returns the time until which all changes are known, zero if none is.
func (t *Tracker) Confirmed() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed
}
