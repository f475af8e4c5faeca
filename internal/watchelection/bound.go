package watchelection

import (
	"time"

	"github.com/dalebend/dalebend/internal/storewatch"
)

const (
	// defaultChangeBound is the ChangeBound if none is set, minChangeBound the shortest that is
	// aimed at.
	defaultChangeBound = 2 * time.Second
	minChangeBound     = 500 * time.Millisecond
	// freshPercent is the part of ChangeBound, in percent, after which a box without word of a
	// contact with the store asks it itself. The rest is for its turn, the call, and the sends on
	// their way.
	freshPercent = 60
	// contactPercent is the part of ChangeBound, in percent, within which the leading box hears
	// from the store at least once: little more than half of freshPercent, so that one lost
	// heartbeat makes nobody ask.
	contactPercent = 35
	// knownPercent is the part of ChangeBound, in percent, by which the times are apart at most until which the leading
	// box knows all changes. The wait of its watches is less than that by what an answer may take.
	knownPercent = 40
	// RecheckInterval is how often a box must decide anew while it relies on others.
	RecheckInterval = 100 * time.Millisecond
)

// changeBound returns ChangeBound or its default.
func (d *Election) changeBound() time.Duration {
	if d.ChangeBound > 0 {
		return max(d.ChangeBound, minChangeBound)
	}
	return defaultChangeBound
}

// freshAge returns the maximum age of a contact with the store for which what is known counts as
// current.
func (d *Election) freshAge() time.Duration {
	return min(d.changeBound()/100*freshPercent, MaxContactAge)
}

// KnownEvery returns how far apart the times may be until which this box knows all changes, 0 if no other relies on them.
func (d *Election) KnownEvery() time.Duration {
	if d.Leads() {
		return d.changeBound() / 100 * knownPercent
	}
	return 0
}

// WatchWait returns how long a watch may wait for a change. The watches of the box that the others
// rely on are answered more often.
func (d *Election) WatchWait() time.Duration {
	if d.Leads() {
		return min(d.changeBound()/100*contactPercent, storewatch.WatchWait)
	}
	return storewatch.WatchWait
}
