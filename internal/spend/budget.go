// Package spend keeps this box's part of the retry budget that all boxes share.
//
// A service may get only so many second attempts in any window: a ratio of its
// first attempts, plus a fixed number that the boxes divide. No box asks another
// before it retries; each stays within its own part, so that all together stay
// within the whole.
package spend

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// windowSlots is the number of counters that a window is kept in. Ten keep the
	// error of the oldest one to a tenth of the window.
	windowSlots = 10
	// caution is the part of the budget that is used. The rest covers boxes that
	// were restarted within the window and forgot what they spent.
	caution = 0.75
)

// Terms are the bounds of the budget.
type Terms struct {
	// Ratio is the number of second attempts for each first one.
	Ratio float64
	// Minimum is the number of second attempts in a window beyond the ratio, for all boxes.
	Minimum int
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget is safe for concurrent use. Set the exported fields before use.
type Budget struct {
	Clock clockwork.Clock
	Terms Terms
	// Boxes returns the number of boxes that share the budget.
	Boxes func() int

	mu       sync.Mutex
	services map[string]*window
	// start is when slot 0 began. Slots are counted from it, not by the time of
	// day, which may be set.
	start time.Time
}

// SetTerms replaces the terms. A window of another length begins anew.
func (b *Budget) SetTerms(t Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Window != b.Terms.Window {
		b.services = nil
	}
	b.Terms = t
}

// window counts the attempts for one service.
type window struct {
	slot  int64
	first [windowSlots]int
	// second has one counter more: a sliding window that ends now began within it.
	second [windowSlots + 1]int
}

// First notes a first attempt for a service.
func (b *Budget) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service)
	w.first[w.slot%windowSlots]++
}

// Spend takes a second attempt and reports whether there was one left.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service)
	if float64(sum(w.second[:])+1) > b.allowed(w) {
		return false
	}
	w.second[w.slot%int64(len(w.second))]++
	return true
}

// Left returns how many second attempts are left now.
func (b *Budget) Left(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(service)
}

func (b *Budget) left(service string) int {
	w := b.at(service)
	return max(0, int(b.allowed(w))-sum(w.second[:]))
}

// LeftInAll returns how many second attempts are left now for all services that had
// a first one.
func (b *Budget) LeftInAll() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for service := range b.services {
		total += b.left(service)
	}
	return total
}

func (b *Budget) allowed(w *window) float64 {
	boxes := max(1, b.Boxes())
	earned := b.Terms.Ratio * float64(sum(w.first[:]))
	return caution * (earned + float64(b.Terms.Minimum)/float64(boxes))
}

// at returns the window of a service with the counters that ran out cleared.
func (b *Budget) at(service string) *window {
	if b.services == nil {
		b.services = make(map[string]*window)
		b.start = b.Clock.Now()
	}
	slot := int64(b.Clock.Since(b.start) / (b.Terms.Window / windowSlots))
	w := b.services[service]
	if w == nil {
		w = &window{slot: slot}
		b.services[service] = w
	}
	for ; w.slot < slot; w.slot++ {
		w.slot = max(w.slot, slot-int64(len(w.second)))
		next := w.slot + 1
		w.first[next%windowSlots] = 0
		w.second[next%int64(len(w.second))] = 0
	}
	return w
}

func sum(counters []int) int {
	total := 0
	for _, n := range counters {
		total += n
	}
	return total
}
