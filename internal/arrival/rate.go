// Package arrival measures the rate of events.
package arrival

import (
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// decayTime is the time after which an event counts for 1/e: long enough for some tens of
// generations of a small fleet, short against changes of the load.
const decayTime = 2 * time.Second

// Rate is an exponentially decaying event rate. It is safe for concurrent use. Set Clock before
// use.
type Rate struct {
	Clock clockwork.Clock

	mu        sync.Mutex
	perSecond float64
	at        time.Time
}

// Add counts n events now.
func (r *Rate) Add(n int) {
	if n == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay()
	r.perSecond += float64(n) / decayTime.Seconds()
}

// PerSecond returns the current rate.
func (r *Rate) PerSecond() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay()
	return r.perSecond
}

// decay brings the rate up to the current time.
func (r *Rate) decay() {
	now := r.Clock.Now()
	if since := now.Sub(r.at); since > 0 {
		r.perSecond *= math.Exp(-since.Seconds() / decayTime.Seconds())
	}
	r.at = now
}
