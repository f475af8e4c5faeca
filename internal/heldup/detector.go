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
	// CatchUpTime is how long the process has afterwards to read what arrived meanwhile: some round trips.
	CatchUpTime = 100 * time.Millisecond
	// MaxCatchUpTime is how long it has at most until it is CaughtUp after a long pause.
	MaxCatchUpTime = time.Second
	// pollInterval is the interval between questions whether it is.
	pollInterval = 10 * time.Millisecond
)

// Detector is safe for concurrent use. Set Clock before use. A nil Detector detects nothing.
type Detector struct {
	Clock clockwork.Clock
	// OnHeldUp, if set, is called with the time for which the process was held up. It must not block, nor call
	// the Detector.
	OnHeldUp func(d time.Duration)

	// LongPause is the shortest pause after which CaughtUp is asked; 0 is none. CaughtUp reports whether the
	// process knows again what it should, after a pause that ended at a time.
	LongPause time.Duration
	CaughtUp  func(resumed time.Time) bool

	// checked is when the process was last known to run, resumed the end of the last pause, and resumedLong
	// that of the last long one.
	checked, resumed, resumedLong atomictime.Time
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
		d.resumed.Store(now)
		if d.LongPause > 0 && pause >= d.LongPause {
			d.resumedLong.Store(now)
		}
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

// Resumed returns the end of the last long pause, zero if there was none.
func (d *Detector) Resumed() time.Time {
	if d == nil {
		return time.Time{}
	}
	d.Check()
	return d.resumedLong.Load()
}

// Await waits after a pause until the process has read what arrived meanwhile: for CatchUpTime, and after a long
// pause until it is CaughtUp, MaxCatchUpTime at most. If the context ends before that, it returns the context's
// error, and what waits must not be done.
func (d *Detector) Await(ctx context.Context) error {
	if d == nil {
		return nil
	}
	now := d.Clock.Now()
	if d.unchecked(now) >= Threshold {
		d.check(now)
	}
	if left := d.resumed.Load().Add(CatchUpTime).Sub(now); left > 0 {
		if err := d.sleep(ctx, left); err != nil {
			return err
		}
	}
	for d.behind(d.resumedLong.Load()) {
		if err := d.sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// behind reports whether the process is still to be awaited after a long pause that ended at a time.
func (d *Detector) behind(resumed time.Time) bool {
	return !resumed.IsZero() && d.Clock.Since(resumed) < MaxCatchUpTime && !d.CaughtUp(resumed)
}

// sleep waits for a time. It returns the context's error if that ends before.
func (d *Detector) sleep(ctx context.Context, left time.Duration) error {
	timer := d.Clock.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
