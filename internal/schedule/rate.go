package schedule

import (
	"math"
	"time"
)

const (
	rateWindow = 4 * time.Second
	// minRateAge is the time after which the rate is used.
	minRateAge = 2 * time.Second
)

// rateMeter is an exponentially decaying rate of dispatches.
type rateMeter struct {
	first time.Time
	last  time.Time
	count float64
}

func (r *rateMeter) decay(now time.Time) {
	if r.first.IsZero() {
		r.first = now
		r.last = now
	}
	r.count *= math.Exp(-float64(now.Sub(r.last)) / float64(rateWindow))
	r.last = now
}

func (r *rateMeter) record(now time.Time) {
	r.decay(now)
	r.count++
}

// wait returns how long the given number of dispatches takes at the current rate; 0 if the rate
// isn't known yet.
func (r *rateMeter) wait(now time.Time, ahead int) time.Duration {
	if ahead == 0 || r.first.IsZero() || now.Sub(r.first) < minRateAge {
		return 0
	}
	r.decay(now)
	covered := float64(rateWindow) * (1 - math.Exp(-float64(now.Sub(r.first))/float64(rateWindow)))
	perSecond := r.count / (covered / float64(time.Second))
	const slowest = 0.1
	return time.Duration(float64(ahead) / max(perSecond, slowest) * float64(time.Second))
}
