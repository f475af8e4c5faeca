package member

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// flushInterval is the least time between two bundles of a relay to the same boxes. A
	// change passes two relays on its way to a box of another failure domain.
	flushInterval = 20 * time.Millisecond
	// restInterval is the longest time that a relay keeps a heartbeat that says nothing new,
	// to send it together with others.
	restInterval = 100 * time.Millisecond
	// fullInterval is the time between two digests of a box in a fleet that is told by
	// updates. They mend what was lost of these; 300 of them take 10 KB/s.
	fullInterval = 10 * time.Second
	// firstFull is how long a box that has just started tells digests only: the others do
	// not know it yet.
	firstFull = 1200 * time.Millisecond
	// attemptsInterval is the least time between two updates with the number of first
	// attempts, which changes with each request.
	attemptsInterval = relayedRound
	// newTrouble is the age up to which an update names a failing server. It has been told
	// by then, and the next digest names it again.
	newTrouble = time.Second
)

// told is what a box has told of itself, to make updates from.
type told struct {
	began time.Time
	// full and attempts are when a digest and the attempts were last told.
	full, attempts time.Time
	// last is what was told last, and changed are the loads that were in that update. They
	// are told twice, as datagrams are lost now and then.
	last    *digest.Digest
	changed []digest.Load
}

// next returns the update that a box tells now, or nil when it is to tell its digest.
func (t *told) next(d *digest.Digest, now time.Time) *digest.Update {
	if t.last == nil || now.Sub(t.began) < firstFull || now.Sub(t.full) >= fullInterval {
		t.full, t.attempts = now, now
		t.last, t.changed = d, nil
		return nil
	}
	changed := digest.Difference(t.last.Loads, d.Loads)
	u := &digest.Update{
		Start: digest.StartKey(d.Box, d.Incarnation), Seq: d.Seq,
		ConfigVersion: d.ConfigVersion, ViewRevision: d.ViewRevision,
		CordonRevision: d.CordonRevision, Cordoned: d.Cordoned,
		StoreTried: d.StoreTried, StoreReachable: d.StoreReachable, StoreAgeMs: d.StoreAgeMs,
		Leaving: d.Leaving, Loads: again(t.changed, changed, d.Loads),
	}
	for _, trouble := range d.Troubles {
		if time.Duration(trouble.AgeMs)*time.Millisecond <= newTrouble {
			u.Troubles = append(u.Troubles, trouble)
		}
	}
	if now.Sub(t.attempts) >= attemptsInterval || moreSeconds(t.last.Attempts, d.Attempts) {
		u.Attempts = d.Attempts
		t.attempts = now
	}
	t.last, t.changed = d, changed
	return u
}

// shown notes a digest that went to one peer between two updates: what is newer in it is
// told to all with the next one, so that they all end with the same.
func (t *told) shown(d *digest.Digest) {
	if t.last == nil {
		return
	}
	t.changed = again(t.changed, digest.Difference(t.last.Loads, d.Loads), d.Loads)
}

// again returns the loads that changed now, and as they are now those that changed before.
func again(before, now, loads []digest.Load) []digest.Load {
	out := now[:len(now):len(now)]
	for _, old := range before {
		if !slices.ContainsFunc(now, func(l digest.Load) bool { return l.Server == old.Server }) {
			out = append(out, digest.LoadOn(loads, old.Server))
		}
	}
	return out
}

// moreSeconds reports whether a box made further attempts than it told.
func moreSeconds(told, now []digest.Attempts) bool {
	for _, a := range now {
		if a.Second > 0 && !hasAttempts(told, a) {
			return true
		}
	}
	return false
}

// hasAttempts reports whether a list has as many further attempts for a service.
func hasAttempts(told []digest.Attempts, a digest.Attempts) bool {
	for _, t := range told {
		if t.Service == a.Service {
			return t.Second >= a.Second
		}
	}
	return false
}
