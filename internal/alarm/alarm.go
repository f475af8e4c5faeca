// Package alarm calls functions at times of a clock.
//
// A clock has timers for durations, which start when they are set. Between reading the clock to
// compute the duration and setting the timer, the process may stand still: a box that has used up
// its CPU quota does so for up to 0.1 s, and the timer would be as late.
package alarm

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// maxLateness bounds how late a timer may have been set. Setting one takes about a microsecond.
const maxLateness = time.Millisecond

// AfterFunc calls f in its own goroutine at a time of the clock, or immediately if that has passed.
func AfterFunc(clock clockwork.Clock, at time.Time, f func()) clockwork.Timer {
	now := clock.Now()
	timer := clock.AfterFunc(at.Sub(now), f)
	for {
		read := now
		now = clock.Now()
		if now.Sub(read) < maxLateness || !timer.Stop() {
			return timer
		}
		timer.Reset(at.Sub(now))
	}
}
