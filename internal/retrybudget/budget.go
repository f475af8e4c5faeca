// Package retrybudget implements a retry budget shared by all boxes.
//
// In any window a service may get a limited number of retries over all boxes: a ratio of its first
// attempts plus a fixed number. Boxes don't coordinate before a retry. Each reports its attempts in
// its heartbeats, and what remains is divided between the boxes whose reports are recent: until the
// next heartbeat none takes more than its share, so that the sum over all boxes stays within the
// limit. Boxes without a recent report are assumed to have used an equal share of the fixed number;
// a box that receives no reports has only its own share.
package retrybudget

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// windowSlots is the number of counters in a window. With ten, the oldest one adds an error of
	// at most a tenth of the window.
	windowSlots = 10
	// partialUseRatio is the part of the budget that is used while some reports are missing. The
	// rest covers boxes that were restarted within the window and lost their counters.
	partialUseRatio = 0.75
	// fullUseRatio is the part that is used while all boxes report: few of them restart at once.
	fullUseRatio = 0.9
	// maxOwnShares limits a box to a multiple of its own share: a box of six whose reports don't
	// arrive, but which receives the others', then stays within what partialUseRatio leaves.
	maxOwnShares = 3.0
	// lagSlots is the age of a report, in slots, up to which it counts as recent. For as many
	// slots, besides the current one, a box charges its own retries to its share of the remaining
	// budget. Two are 2 s of the usual 10: in a fleet of 85 boxes each report arrives within 1.6 s.
	lagSlots = 2
)

// Limits configures the budget.
type Limits struct {
	// Ratio is the number of retries for each first attempt.
	Ratio float64
	// Minimum is the number of retries in a window beyond the ratio, for all boxes.
	Minimum int
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget is safe for concurrent use. Set the exported fields before use.
type Budget struct {
	Clock  clockwork.Clock
	Limits Limits
	// Boxes returns the number of boxes that share the budget.
	Boxes func() int

	mu       sync.Mutex
	services map[string]*window
	// peers holds the last report of each peer, at most one window and pruneInterval old.
	peers map[string]*report
	// reported is what this box reported last.
	reported []digest.Attempts
	// pruned is when old reports were last removed.
	pruned time.Time
	// start is when slot 0 began. Slots are counted from it and not by wall-clock time, which may
	// be set.
	start time.Time
}

// SetLimits replaces the limits. A change of the window's length resets the counters.
func (b *Budget) SetLimits(t Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Window != b.Limits.Window {
		b.services = nil
	}
	b.Limits = t
}

// window counts the attempts for one service.
type window struct {
	slot  int64
	first [windowSlots]int
	// retries has one counter more, as a sliding window that ends now begins within the oldest
	// slot.
	retries [windowSlots + 1]int
}

// RecordFirstAttempt records a first attempt for a service.
func (b *Budget) RecordFirstAttempt(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service)
	w.first[w.slot%windowSlots]++
}

// TakeRetry takes a retry from the budget, and reports whether one was left.
func (b *Budget) TakeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining(service) == 0 {
		return false
	}
	w := b.at(service)
	w.retries[w.slot%int64(len(w.retries))]++
	return true
}

// Remaining returns how many retries this box may make now.
func (b *Budget) Remaining(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(service)
}

// remaining returns this box's share of the remaining budget, less the retries that the others may
// not know of yet.
func (b *Budget) remaining(service string) int {
	w := b.at(service)
	all := b.fleet(service, w)
	recent := w.recentRetries()
	share := (all.free() + float64(recent)) / float64(all.heard+1)
	untaken := int(math.Floor(share)) - recent
	// Peers that receive no reports from this box use their own shares while it takes from them.
	limit := maxOwnShares*all.ownShare - float64(sum(w.retries[:]))
	return max(0, min(untaken, int(math.Floor(limit))))
}

// TotalRemaining returns the sum of Remaining over all services with a first attempt.
func (b *Budget) TotalRemaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for service := range b.services {
		total += b.remaining(service)
	}
	return total
}

// at returns the window of a service, with expired counters cleared.
func (b *Budget) at(service string) *window {
	if b.services == nil {
		b.services = make(map[string]*window)
		b.start = b.Clock.Now()
	}
	slot := int64(b.Clock.Since(b.start) / (b.Limits.Window / windowSlots))
	w := b.services[service]
	if w == nil {
		w = &window{slot: slot}
		b.services[service] = w
	}
	for ; w.slot < slot; w.slot++ {
		w.slot = max(w.slot, slot-int64(len(w.retries)))
		next := w.slot + 1
		w.first[next%windowSlots] = 0
		w.retries[next%int64(len(w.retries))] = 0
	}
	return w
}

// recentRetries returns the retries that other boxes may not know of yet.
func (w *window) recentRetries() int {
	n := 0
	for slot := max(0, w.slot-lagSlots); slot <= w.slot; slot++ {
		n += w.retries[slot%int64(len(w.retries))]
	}
	return n
}

// lastingFirst returns the first attempts that stay in the window for lagSlots more.
func (w *window) lastingFirst() int {
	n := 0
	for slot := max(0, w.slot-windowSlots+1+lagSlots); slot <= w.slot; slot++ {
		n += w.first[slot%windowSlots]
	}
	return n
}

func sum(counters []int) int {
	total := 0
	for _, n := range counters {
		total += n
	}
	return total
}
