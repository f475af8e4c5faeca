package storewatch

import (
	"context"
	"math"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// initialRetryDelay and maxRetryDelay are the mean delays after failures. With jitter a delay
	// is between 100 and 600 ms, so that a box finds the store within a second of its return.
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 400 * time.Millisecond
	// retryJitter is the maximum ratio of a delay that is added or subtracted.
	retryJitter = 0.5
	// seekSpread is the maximum delay that a box adds for each other box that also seeks the store.
	// All boxes in total then try at most ten times a second, and find the store about 0.1 s after
	// its return, however many there are.
	seekSpread = 200 * time.Millisecond
	// recheckSpread is the maximum delay of a box that has had no word of the store for a while.
	recheckSpread = 200 * time.Millisecond
)

// awaitTurn waits for a delay, plus a random one that grows with the number of boxes that seek the
// store. It reports whether the watcher should try the store then. The wait ends early when another
// box has found the store.
func (w *Watcher) awaitTurn(ctx context.Context, pause time.Duration) bool {
	draw := w.draw()
	share := time.Duration(draw * float64(seekSpread))
	return w.awaitWhileActive(ctx, func() time.Duration {
		if n := w.unconfirmed(); n > 0 {
			return pause + recheckDelay(draw, n)
		}
		return pause + share*time.Duration(w.seekers()-1)
	})
}

// recheckDelay returns when a box of n takes its turn, at most recheckSpread. The number of boxes whose
// turn has come grows exponentially: of a large fleet few ask the store before the first of them
// tells the others that it reaches it, and all do in time if these are cut off from it.
func recheckDelay(draw float64, n int) time.Duration {
	if n < 2 {
		return 0
	}
	boxes := float64(n)
	part := 1 + math.Log(max(draw, 1/boxes))/math.Log(boxes)
	return time.Duration(max(part, 0) * float64(recheckSpread))
}

// awaitFirst waits before the first attempt, regardless of the number of seeking boxes.
func (w *Watcher) awaitFirst(ctx context.Context, pause time.Duration) bool {
	return w.awaitWhileActive(ctx, func() time.Duration { return pause })
}

// awaitWhileActive waits for a time that may change meanwhile, and reports whether it has passed.
// The wait ends early when the watcher becomes inactive.
func (w *Watcher) awaitWhileActive(ctx context.Context, pause func() time.Duration) bool {
	began := w.Clock.Now()
	for w.Active() {
		left := pause() - w.Clock.Since(began)
		if left <= 0 {
			return true
		}
		w.sleepOrWake(ctx, left)
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

func (w *Watcher) seekers() int {
	if w.Seekers == nil {
		return 1
	}
	return max(w.Seekers(), 1)
}

func (w *Watcher) unconfirmed() int {
	if w.Unconfirmed == nil {
		return 0
	}
	return w.Unconfirmed()
}

func (w *Watcher) draw() float64 {
	if w.Draw == nil {
		return 0
	}
	return w.Draw()
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryDelay
	b.MaxInterval = maxRetryDelay
	b.RandomizationFactor = retryJitter
	b.Reset()
	return b
}

// awaitWake returns after Wake, or when ctx ends.
func (w *Watcher) awaitWake(ctx context.Context) {
	select {
	case <-w.wake:
	case <-ctx.Done():
	}
}

// awaitRecheck returns when Active must be called again.
func (w *Watcher) awaitRecheck(ctx context.Context) {
	if w.RecheckInterval <= 0 {
		w.awaitWake(ctx)
		return
	}
	w.sleepOrWake(ctx, w.RecheckInterval)
}

// sleepOrWake returns after d, after Wake, or when ctx ends.
func (w *Watcher) sleepOrWake(ctx context.Context, d time.Duration) {
	timer := w.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-w.wake:
	case <-ctx.Done():
	}
}

// sleep returns after d, or when ctx ends.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := w.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}

// noDelay is the delay after a change of the configuration or the cordons. Both change rarely, and
// the whole configuration is sent to every box: a single box would take long to send it to all.
func noDelay(int) time.Duration { return 0 }

// longWait is how long a watch of the cordons waits for a change.
func longWait() time.Duration { return WatchWait }

// wait returns how long the next watch of the configuration or the servers waits for a change.
func (w *Watcher) wait() time.Duration {
	if w.Wait == nil {
		return WatchWait
	}
	return w.Wait()
}

// awaitDelivery waits for the delivery delay.
func (w *Watcher) awaitDelivery(ctx context.Context) {
	if w.DeliveryDelay != nil {
		w.sleep(ctx, w.DeliveryDelay())
	}
}

func (w *Watcher) rewatchDelay(changes int) time.Duration {
	if w.RewatchDelay == nil {
		return 0
	}
	return min(w.RewatchDelay(changes), maxRewatchDelay)
}
