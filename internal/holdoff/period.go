package holdoff

import (
	"sync/atomic"
	"time"

	"github.com/dalebend/dalebend/internal/atomictime"
)

const (
	// spreadRatio is the part of the requested duration over which boxes spread their first
	// requests after it, up to maxSpread: hundreds of boxes that were refused together would
	// otherwise return together.
	spreadRatio = 0.125
	maxSpread   = 500 * time.Millisecond
	// probeInterval is the time between two requests to a server whose hold-off has elapsed and
	// that has not answered since: most answers of plain servers arrive within it.
	probeInterval = 250 * time.Millisecond
	// maxContinuing is how many streams may continue on a server during a hold-off: servers under a
	// hold-off are required to accept no more than two requests.
	maxContinuing = 2
)

// period is the hold-off of one server instance: the requested duration, and after it the time
// until the server has answered. Fields are guarded by Tracker.mu, except those that are read
// without it. Times keep their monotonic clock reading: setting the wall clock forward must not
// shorten a hold-off.
type period struct {
	server string
	// since is when the server first asked, reportedAt when it last asked, and requested the
	// duration that it last asked for.
	since, reportedAt time.Time
	requested         time.Duration

	// until is the end of the requested duration, next when the next request may be sent, and
	// continued counts the streams that continued there meanwhile. They are read without the lock.
	until, next atomictime.Time
	continued   atomic.Int32
}

// extend applies a hold-off requested now, and reports whether it ends later than the previous
// ones. draw is a random number from 0 to 1.
func (p *period) extend(holdOff time.Duration, now time.Time, draw float64) bool {
	until := now.Add(holdOff)
	if !until.After(p.until.Load()) {
		return false
	}
	if p.elapsed(now) {
		p.continued.Store(0)
	}
	p.reportedAt, p.requested = now, holdOff
	p.until.Store(until)
	spread := min(maxSpread, time.Duration(spreadRatio*float64(holdOff)))
	p.delayUntil(until.Add(time.Duration(draw * float64(spread))))
	return true
}

// delayUntil blocks requests until the given time.
func (p *period) delayUntil(until time.Time) { p.next.Store(until) }

// accepts reports whether a request may be sent.
func (p *period) accepts(now time.Time) bool { return !now.Before(p.next.Load()) }

// elapsed reports whether the requested duration is over.
func (p *period) elapsed(now time.Time) bool { return !now.Before(p.until.Load()) }

// remaining returns the time until a request may be sent.
func (p *period) remaining(now time.Time) time.Duration {
	return max(0, p.next.Load().Sub(now))
}

// tryContinue counts one more stream, and reports whether it may continue there.
func (p *period) tryContinue(now time.Time) bool {
	return p.elapsed(now) || p.continued.Add(1) <= maxContinuing
}
