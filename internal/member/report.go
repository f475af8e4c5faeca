package member

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/storerev"
)

const (
	// flushInterval is the least time between two bundles from a relay to the same boxes. A change
	// passes two relays on its way to a box of another failure domain.
	flushInterval = 20 * time.Millisecond
	// flushPerBox raises that time with the size of the failure domain, so that a relay sends it
	// 4,000 datagrams a second at most.
	flushPerBox = 250 * time.Microsecond
	// relayHoldTime is the longest time that a relay holds a heartbeat without changes, to batch it
	// with others.
	relayHoldTime = 100 * time.Millisecond
	// fullDigestInterval is the least time between two digests of a box that otherwise sends
	// updates, and fullDigestPerBox raises it with the size of the fleet: all boxes together send
	// five digests a second, however many they are. Digests repair the effects of lost updates.
	fullDigestInterval = 10 * time.Second
	fullDigestPerBox   = 200 * time.Millisecond
	// attemptsPerBox is, for each box of the fleet, the time between two forwarded updates of one
	// box whose only change is its number of first attempts, which changes with each request: there
	// are 167 of them a second, however many boxes there are.
	attemptsPerBox = 6 * time.Millisecond
	// newFailureAge is the age up to which an update lists a failing server. It has been reported
	// by then, and the next digest lists it again.
	newFailureAge = time.Second
	// versionAnnouncers is how many boxes of a fleet, on average, report at once that they have a
	// newer configuration, newer cordons or a first view: enough for the others to learn of it, and
	// to fetch it from.
	versionAnnouncers = 64
)

// reportState is what this box has reported of itself, from which it makes updates.
type reportState struct {
	// fullSent is when the last digest was sent, and forwarded when the last item for relays to
	// forward was sent.
	fullSent, forwarded time.Time
	// counts are the attempts in the last forwarded item.
	counts []digest.Attempts
	// last is the last reported state, and changed are the loads in that report. They are sent
	// twice, as datagrams may be lost; repeat is set when any other change is to be sent again.
	last    *digest.Digest
	changed []digest.Load
	repeat  bool
}

// next returns the update to send in a fleet of this size, or nil when a digest is due instead.
func (t *reportState) next(d *digest.Digest, boxes int, now time.Time) *digest.Update {
	if t.last == nil || !now.Before(t.fullDue(boxes)) {
		t.fullSent, t.forwarded, t.counts = now, now, d.Attempts
		t.last, t.changed, t.repeat = d, nil, false
		return nil
	}
	d.Loads = damped(t.last.Loads, d.Loads)
	changed := digest.Difference(t.last.Loads, d.Loads)
	u := &digest.Update{
		Key: digest.IncarnationKey(d.Box, d.Incarnation), Seq: d.Seq,
		ConfigVersion: d.ConfigVersion, ConfigEra: d.ConfigEra, ViewRevision: d.ViewRevision,
		CordonRevision: d.CordonRevision, Cordoned: d.Cordoned,
		StoreTried: d.StoreTried, StoreReachable: d.StoreReachable, StoreAgeMs: d.StoreAgeMs,
		Leaving: d.Leaving, Loads: withPrevious(t.changed, changed, d.Loads),
	}
	for _, trouble := range d.Troubles {
		if time.Duration(trouble.AgeMs)*time.Millisecond <= newFailureAge {
			u.Troubles = append(u.Troubles, trouble)
		}
	}
	t.setForward(u, d, boxes, now)
	t.last, t.changed = d, changed
	return u
}

func (t *reportState) fullDue(boxes int) time.Time {
	return t.fullSent.Add(max(fullDigestInterval, time.Duration(boxes)*fullDigestPerBox))
}

// setForward decides whether relays are to forward an update, and adds the attempts if so.
func (t *reportState) setForward(u *digest.Update, d *digest.Digest, boxes int, now time.Time) {
	changed := hasChanges(u, t.last, boxes) || moreRetries(t.last.Attempts, d.Attempts)
	counts := now.Sub(t.forwarded) >= max(relayedRound, time.Duration(boxes)*attemptsPerBox) &&
		!slices.Equal(t.counts, d.Attempts)
	u.Forward = changed || t.repeat || counts || d.StoreReachable
	t.repeat = changed
	if u.Forward {
		u.Attempts = d.Attempts
		t.forwarded, t.counts = now, d.Attempts
	}
}

// hasChanges reports whether an update carries more than the sender's presence.
func hasChanges(u *digest.Update, old *digest.Digest, boxes int) bool {
	return len(u.Loads) > 0 || len(u.Troubles) > 0 || u.Leaving != old.Leaving ||
		u.StoreTried != old.StoreTried || u.StoreReachable != old.StoreReachable ||
		announcesVersions(u.Key, boxes) && versionsChanged(old, u.Config(), u.ViewRevision, u.CordonRevision)
}

// versionsChanged reports whether the versions differ from those last reported. Of views only the
// first and that of another era of the store count: changes of the servers are broadcast in notes.
func versionsChanged(old *digest.Digest, config storerev.ConfigVersion, view, cordons storerev.Revision) bool {
	return config != old.Config() || (view == 0) != (old.ViewRevision == 0) || view.Era() != old.ViewRevision.Era() ||
		cordons != old.CordonRevision
}

// announcesVersions reports whether a box is one of the versionAnnouncers of a fleet of this size.
func announcesVersions(key uint64, boxes int) bool {
	return key%uint64(max(boxes, 1)) < versionAnnouncers
}

// recordDirect records a digest that was sent to one peer between two updates. Its changes go to
// all peers with the next update, so that all end with the same state.
func (t *reportState) recordDirect(d *digest.Digest) {
	if t.last == nil {
		return
	}
	t.changed = withPrevious(t.changed, digest.Difference(t.last.Loads, d.Loads), d.Loads)
}

// withPrevious returns the loads that changed now, and the current values of those that changed
// before.
func withPrevious(before, now, loads []digest.Load) []digest.Load {
	out := now[:len(now):len(now)]
	for _, old := range before {
		if !slices.ContainsFunc(now, func(l digest.Load) bool { return l.Server == old.Server }) {
			out = append(out, digest.LoadFor(loads, old.Server))
		}
	}
	return out
}

// moreRetries reports whether further attempts were made since the last report.
func moreRetries(reported, now []digest.Attempts) bool {
	for _, a := range now {
		if a.Second > 0 && !coversRetries(reported, a) {
			return true
		}
	}
	return false
}

// coversRetries reports whether a list has at least as many further attempts for the service.
func coversRetries(reported []digest.Attempts, a digest.Attempts) bool {
	for _, t := range reported {
		if t.Service == a.Service {
			return t.Second >= a.Second
		}
	}
	return false
}
