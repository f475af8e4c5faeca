// Package coalesce combines several updates into one message, and spreads over time the messages of
// boxes that report the same.
package coalesce

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Coalescer delays a call so that it covers all updates that arrive before it. The zero value is
// ready.
type Coalescer struct {
	waiting atomic.Bool
}

// Schedule calls do in its own goroutine after the time has passed, unless a call is already
// pending. An update that arrives while do runs leads to another call. Callers may hold a lock that
// do takes.
func (g *Coalescer) Schedule(clock clockwork.Clock, after time.Duration, do func()) {
	if g.waiting.Swap(true) {
		return
	}
	clock.AfterFunc(after, func() {
		g.waiting.Store(false)
		do()
	})
}

const (
	// delayPerBox and maxDelay bound the result of UniformDelay, for each live box and in all: of
	// 300 boxes that learn the same, three report it before the others have received a report (in
	// one process, with 50 ms from box to box).
	delayPerBox = 20 * time.Millisecond
	maxDelay    = 4 * time.Second
)

// UniformDelay returns how long a box waits before it reports what other boxes may report as well,
// so that hundreds do not do so at once. The draw is a random number from 0 to 1.
func UniformDelay(draw float64, boxes int) time.Duration {
	return time.Duration(draw * float64(min(maxDelay, time.Duration(boxes)*delayPerBox)))
}

// SuppressionDelay is a longer UniformDelay for reports that as few boxes as possible should send:
// the delays are distributed more densely towards the maximum, so that the first of hundreds
// reports after about a quarter of it, and hardly another one does before that report arrives
// (Nonnenmacher and Biersack, Scalable Feedback for Large Groups, 1999).
func SuppressionDelay(draw float64, boxes int) time.Duration {
	steep := math.Log(float64(max(1, boxes))) + 1
	return UniformDelay(math.Log1p(draw*math.Expm1(steep))/steep, boxes)
}
