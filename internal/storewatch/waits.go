package storewatch

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// firstPause and longestPause are the means of the pauses after failures.
	// With jitter a pause is between 100 and 600 ms, so that a box finds the
	// store within a second of its return.
	firstPause   = 200 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// pauseJitter is the greatest part of a pause that is added or taken away.
	pauseJitter = 0.5
	// seekSpread is the longest time that a box adds to its pause for each other box
	// that seeks the store too. All together then try ten times a second at most,
	// and find the store some 0.1 s after its return, however many they are.
	seekSpread = 200 * time.Millisecond
)

// awaitTurn waits for a pause, and longer the more boxes seek the store. It reports
// whether the watcher is to try the store then. The wait is cut short when another
// box has found the store.
func (w *Watcher) awaitTurn(ctx context.Context, pause time.Duration) bool {
	share := time.Duration(w.draw() * float64(seekSpread))
	return w.awaitWhileActive(ctx, func() time.Duration {
		return pause + share*time.Duration(w.seekers()-1)
	})
}

// awaitFirst waits before the first try, however many boxes seek the store.
func (w *Watcher) awaitFirst(ctx context.Context, pause time.Duration) bool {
	return w.awaitWhileActive(ctx, func() time.Duration { return pause })
}

// awaitWhileActive waits for a time that may change meanwhile, and reports whether it has
// passed. The wait is cut short when the watcher is not to try the store any more.
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

func (w *Watcher) draw() float64 {
	if w.Draw == nil {
		return 0
	}
	return w.Draw()
}

func newPause() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstPause
	b.MaxInterval = longestPause
	b.RandomizationFactor = pauseJitter
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
