// Package heldup finds out that the process was not run for a while, and holds back what must not be done by
// what was known before.
//
// When a process runs again, its timers and the requests that wait run before what else has arrived is read.
// What the box knows then is older by the time for which it did not run, and nothing shows it.
package heldup

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/atomictime"
)

const (
	// Threshold is the time without a check from which on the process is assumed to have been held up. An
	// exhausted CPU quota takes 0.1 s.
	Threshold = 250 * time.Millisecond
	// catchUpTime is how long the process has afterwards to read what arrived meanwhile, and to ask the store
	// again if its watch ran out: some round trips.
	catchUpTime = 100 * time.Millisecond
)

// Detector is safe for concurrent use. Set Clock before use. A nil Detector detects nothing.
type Detector struct {
	Clock clockwork.Clock
	// OnHeldUp, if set, is called with the time for which the process was held up. It must not block, nor call
	// the Detector.
	OnHeldUp func(d time.Duration)

	// checked is when the process was last known to run, caughtUp when it has read what arrived while it did
	// not.
	checked, caughtUp atomictime.Time
	// mu is held while a pause is recorded, so that it counts once.
	mu sync.Mutex
}

// Check records that the process runs. It must be called several times within Threshold.
func (d *Detector) Check() {
	if d != nil {
		d.check(d.Clock.Now())
	}
}

func (d *Detector) check(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if pause := d.unchecked(now); pause >= Threshold {
		d.caughtUp.Store(now.Add(catchUpTime))
		if d.OnHeldUp != nil {
			d.OnHeldUp(pause)
		}
	}
	d.checked.Store(now)
}

// unchecked returns the time since the last check, 0 before the first.
func (d *Detector) unchecked(now time.Time) time.Duration {
	last := d.checked.Load()
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}

// Await waits, if the process was held up, until it has read what arrived meanwhile, or the context ends. It
// waits for catchUpTime at most.
func (d *Detector) Await(ctx context.Context) {
	if d == nil {
		return
	}
	now := d.Clock.Now()
	if d.unchecked(now) >= Threshold {
		d.check(now)
	}
	left := d.caughtUp.Load().Sub(now)
	if left <= 0 {
		return
	}
	timer := d.Clock.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
