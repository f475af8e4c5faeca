// Package periodic runs a function at an interval until a context ends.
package periodic

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run calls do after each interval until ctx ends. Ticks that arrive while do runs count as one.
func Run(ctx context.Context, clock clockwork.Clock, interval time.Duration, do func()) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for next(ctx, ticker) {
		do()
	}
}

// RunNow is like Run, but makes the first call at once.
func RunNow(ctx context.Context, clock clockwork.Clock, interval time.Duration, do func()) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	do()
	for next(ctx, ticker) {
		do()
	}
}

// next waits for a tick and reports whether one came before ctx ended.
func next(ctx context.Context, ticker clockwork.Ticker) bool {
	select {
	case <-ctx.Done():
		return false
	case <-ticker.Chan():
		return true
	}
}
