// Package retry bounds the additional load from second attempts.
//
// Each first attempt adds a fraction of a second attempt to the budget, so a box whose attempts all
// fail soon stops adding load. The budget starts full, so that single failures on an idle box are
// retried.
package retry

import "sync/atomic"

const (
	unitsPerRetry = 1000
	// maxBalance is the number of second attempts that the budget can hold.
	maxBalance = 20 * unitsPerRetry
)

// Budget is lock-free and safe for concurrent use. Set Percent before use.
type Budget struct {
	// Percent is the number of second attempts per hundred first attempts.
	Percent int64

	spent atomic.Int64
}

// Earn records a first attempt.
func (b *Budget) Earn() {
	gain := b.Percent * unitsPerRetry / 100
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-gain)) {
			return
		}
	}
}

// Spend takes a second attempt from the budget and reports whether one was left.
func (b *Budget) Spend() bool {
	for {
		spent := b.spent.Load()
		if spent+unitsPerRetry > maxBalance {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+unitsPerRetry) {
			return true
		}
	}
}
