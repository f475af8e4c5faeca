// Package watchelection decides whether this box follows the platform's store.
//
// In each failure domain one box follows the store and publishes what it reads, so that calls to
// the store grow with the number of failure domains, not of boxes. This is the live box that ranks
// first by strength and a hash. There is no vote: two boxes that both consider themselves first
// only cost a few calls. A box that failed to reach the store is passed over for PassOverTime.
// While no box is known to be in contact with the store, every box tries, in turns. Of the boxes
// that follow the store, all but the first of the fleet wait longer after a change.
//
// A box that relies on others must know a change in time even if all that follow the store lose it
// at the same moment, before they can notice. So the first box of the fleet hears from the store
// several times within that bound, and a box that has no word of a contact for a part of it asks
// the store itself.
package watchelection

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/storewatch"
)

const (
	// MaxContactAge is the maximum age of a contact with the store that still counts: a watch is
	// answered at least every two seconds, and the report of that takes a heartbeat to arrive.
	MaxContactAge = 3 * time.Second
	// PassOverTime is how long a box that failed to reach the store is passed over.
	PassOverTime = 3 * time.Second
	// settleTime is how long after its start a box leaves the store to the boxes that already
	// follow it. It does not know all boxes yet, and each box that considers itself first calls the
	// store at least four times, which is a lot when hundreds of boxes start together.
	settleTime = 2 * time.Second
	// backupDelay is the minimum rewatch delay of the other boxes, and backupSpread the maximum
	// that is added to it. Their sum stays within the second that a watcher allows, half of the
	// time within which a configuration must be in force.
	backupDelay  = 500 * time.Millisecond
	backupSpread = 500 * time.Millisecond
	// backupDeliveryDelay is how long the other boxes hold back a change that they read: two calls
	// of the first box, and its note. If two boxes publish the same changes in different steps, the
	// rest of the fleet can apply only one of them, and fetches the whole list for the other.
	backupDeliveryDelay = 250 * time.Millisecond
	// promptInterval is the rewatch delay of the first box of the fleet, or the only one that
	// follows the store, after a burst of promptBurst changes. While dozens of servers come or are
	// replaced each second it reads their changes together, as each change is sent to all boxes.
	promptInterval = 100 * time.Millisecond
	promptBurst    = 4
	// delayPerChange is the delay added per change from bulkChanges changes on, so that thousands
	// of servers that come at once are published in a few large steps: each step costs a box a pass
	// over part of all servers.
	delayPerChange = time.Millisecond
	bulkChanges    = 32
)

// Peers is what other boxes reported about the store.
type Peers interface {
	// InContact reports whether a peer was in contact with the store within a time.
	InContact(within time.Duration) bool
	// Refused reports whether a peer tried the store and failed to reach it.
	Refused(box string) bool
	// Leaving reports whether a peer is about to stop.
	Leaving(box string) bool
	// Reaches reports whether a peer reached the store within a time, by its own report.
	Reaches(box string, within time.Duration) bool
	// Strength returns the strength that a peer reported, higher is stronger, 0 if unknown.
	Strength(box string) int32
}

// Election decides for one box. Set the exported fields before use.
type Election struct {
	Clock clockwork.Clock
	Self  member.Box
	// Live returns the live boxes, including this one.
	Live func() []member.Box
	// Store returns this box's own contact with the store.
	Store func() storewatch.Status
	Peers Peers
	// LastContact returns when any box was last in contact with the store, as far as is known, zero
	// if none was. Nil means zero.
	LastContact func() time.Time
	// Confirmed returns until when this box knows all changes of the store, zero if it never did. A peer's
	// contact is no word of changes that have not arrived here. Nil means that they always have.
	Confirmed func() time.Time
	Started   time.Time
	// Strength is the strength of this box, as reported to its peers.
	Strength int32
	// Seed means that starting boxes contact this box first.
	Seed bool
	// ChangeBound is the time within which a change in the store must be in force on every box that
	// reaches it; 0 means 2 s.
	ChangeBound time.Duration

	// ranked caches the order of the live boxes.
	ranked atomic.Pointer[ranking]
	// promptLimiter limits the watches without a delay.
	once          sync.Once
	promptLimiter *rate.Limiter
}

// Decide reports whether this box should follow the store now, and why. A box that reaches the
// store hands over: it continues until the box that ranks before it reaches the store.
func (d *Election) Decide() (active bool, reason string) {
	first := d.first(d.ranking().domain)
	following := d.Store().Reachable
	settling := !following && d.Clock.Since(d.Started) < settleTime
	if !d.informed(d.freshAge()) {
		return d.decideWithoutContact(first, settling)
	}
	switch {
	case settling:
		return false, "this box has just started, and another one is in contact with the store"
	case first == d.Self.Name:
		return true, "this box ranks first in its failure domain"
	case following && first != "" && !d.Peers.Reaches(first, d.freshAge()) && !d.StoreFailed():
		return true, "the box that ranks first in the failure domain does not reach the store yet: " + first
	default:
		return false, "another box ranks first in the failure domain: " + first
	}
}

// decideWithoutContact decides while no box is known to be in contact with the store. Of hundreds
// of boxes that start together, the seeds and the first box of each failure domain are enough to
// find it.
func (d *Election) decideWithoutContact(first string, settling bool) (active bool, reason string) {
	if settling && !d.Seed && first != "" && first != d.Self.Name {
		return false, "this box has just started, and leaves the store to the one that ranks first: " + first
	}
	if d.Unconfirmed() > 0 {
		return true, "there was no word of a contact with the store for a while"
	}
	return true, "no other box is known to be in contact with the store"
}

// Unconfirmed returns how many boxes may ask the store at the same moment because there was no word of a
// contact with it lately, and this box has not tried since the last one. It is 0 otherwise. That
// boxes which follow the store have lost it does not tell whether this one reaches it.
func (d *Election) Unconfirmed() int {
	if d.LastContact == nil || d.informed(d.freshAge()) {
		return 0
	}
	last := d.LastContact()
	if last.IsZero() || d.Store().LastFailure.After(last) {
		return 0
	}
	return len(d.Live())
}

// informed reports whether a peer was in contact with the store within a time, and this box knew all
// changes within that time.
func (d *Election) informed(within time.Duration) bool {
	if !d.Peers.InContact(within) {
		return false
	}
	if d.Confirmed == nil {
		return true
	}
	since := d.Started.Add(settleTime)
	if at := d.Confirmed(); at.After(since) {
		since = at
	}
	return d.Clock.Since(since) <= within
}

// Seekers returns how many boxes seek the store while none is in contact with it: all live ones. It
// is 1 while another box is in contact, as the few boxes that follow the store need not wait for
// each other.
func (d *Election) Seekers() int {
	if d.Peers.InContact(MaxContactAge) {
		return 1
	}
	return len(d.Live())
}

// Leads reports whether the other boxes rely on this one for the state of the store: it is the
// first of the fleet, or no other box has been in contact lately.
func (d *Election) Leads() bool {
	return !d.Peers.InContact(d.freshAge()) || d.first(d.ranking().fleet) == d.Self.Name
}

// RewatchDelay returns this box's delay before the next watch after so many changes of the servers.
// Each change ends the watches of all boxes that wait, and each of them would call again. So one
// box, the first of the fleet, calls again at once and publishes the changes; the others wait
// longer, and read only what the first box missed. A box without peers in contact also calls again
// at once.
func (d *Election) RewatchDelay(changes int) time.Duration {
	if d.Leads() {
		return max(d.promptDelay(), bulkDelay(changes))
	}
	// The delay differs between boxes, so that one of them soon replaces a first box that fails.
	return backupDelay + time.Duration(rank(d.Self.Name)%uint64(backupSpread))
}

// DeliveryDelay returns how long this box holds back a change of the servers that it read, so that
// the first box of the fleet publishes it.
func (d *Election) DeliveryDelay() time.Duration {
	if d.Leads() {
		return 0
	}
	return backupDeliveryDelay
}

// bulkDelay returns the delay after many changes at once.
func bulkDelay(changes int) time.Duration {
	if changes < bulkChanges {
		return 0
	}
	return time.Duration(changes) * delayPerChange
}

// promptDelay returns the delay of a box that calls again at once: zero, unless changes come in a
// burst.
func (d *Election) promptDelay() time.Duration {
	d.once.Do(func() { d.promptLimiter = rate.NewLimiter(rate.Every(promptInterval), promptBurst) })
	now := d.Clock.Now()
	return d.promptLimiter.ReserveN(now, 1).DelayFrom(now)
}

// first returns the first eligible box of a ranked list, empty if there is none.
func (d *Election) first(ranked []string) string {
	for _, box := range ranked {
		if !d.ineligible(box) {
			return box
		}
	}
	return ""
}

// ineligible reports whether a box must not follow the store now.
func (d *Election) ineligible(box string) bool {
	if box == d.Self.Name {
		return d.StoreFailed()
	}
	return d.Peers.Refused(box) || d.Peers.Leaving(box)
}

// StoreFailed reports whether this box tried the store within PassOverTime and failed to reach it.
func (d *Election) StoreFailed() bool {
	s := d.Store()
	return !s.Reachable && !s.LastFailure.IsZero() && d.Clock.Since(s.LastFailure) < PassOverTime
}

// RecentContact reports whether this box or a live peer was in contact with the store within
// MaxContactAge, and this box knew all changes within it.
func (d *Election) RecentContact() bool {
	s := d.Store()
	if s.Reachable && d.Clock.Since(s.LastContact) < MaxContactAge {
		return true
	}
	return d.informed(MaxContactAge)
}
