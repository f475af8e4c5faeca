// Package boottime has a clock that includes the time for which the machine was suspended.
//
// The monotonic clock of the operating system stops during a suspension, and with it everything
// measured by package time: a box that was suspended for five seconds takes its state to be as
// fresh as before, and its callers to have five seconds more than they have. CLOCK_BOOTTIME
// continues. To read it each time would cost a system call, so that a Clock reads the monotonic
// clock and adds the suspended time. It updates that from CLOCK_BOOTTIME when the wall clock has
// advanced by more than the monotonic clock, and otherwise at most ten times a second.
//
// Invariants: Now never goes back, and equals the monotonic clock to the nanosecond while the
// machine isn't suspended. A timer that expires during a suspension fires at the first reading of
// the clock after it. Tickers aren't corrected; the next tick is at most one period away.
//
// Times of this clock are ahead of those of package time by the suspended time. RuntimeTime
// converts them for calls that compare them with that clock, such as connection deadlines.
package boottime

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// minSuspension is the shortest suspension that counts. It is longer than the delay between two
	// clock readings, and too short to matter for anything measured here.
	minSuspension = 50 * time.Millisecond
	// bootClockInterval is the interval at which the boot clock is read if the wall clock shows no
	// suspension: it may have been set back by as much as the machine was suspended.
	bootClockInterval = 100 * time.Millisecond
)

// Clock is a clockwork.Clock. New returns one.
type Clock struct {
	steady clockwork.Clock
	wall   func(t time.Time) int64
	boot   func() time.Duration
	// base, wallBase and bootBase are the readings of the monotonic, wall and boot clock at the
	// start.
	base     time.Time
	wallBase int64
	bootBase time.Duration

	// suspended is the total suspended time, in nanoseconds.
	suspended atomic.Int64
	// wallLead is by how much more than the monotonic clock the wall clock had advanced at the last
	// reading of the boot clock, and checkedAt the time of that reading, both in nanoseconds since
	// base.
	wallLead  atomic.Int64
	checkedAt atomic.Int64

	mu     sync.Mutex
	timers map[*timer]struct{}
	// OnSuspend, if set, is called for each suspension that is detected. It must not block.
	OnSuspend func(d time.Duration)
}

// New returns a clock that starts now.
func New() *Clock { return NewWithClocks(clockwork.NewRealClock(), time.Time.UnixNano, bootTime) }

// NewWithClocks returns a clock over a monotonic one that stops while the machine is suspended.
// Wall returns the wall clock time for a reading of it, in nanoseconds, and boot reads the clock
// that continues.
func NewWithClocks(steady clockwork.Clock, wall func(t time.Time) int64, boot func() time.Duration) *Clock {
	c := &Clock{steady: steady, wall: wall, boot: boot, timers: make(map[*timer]struct{})}
	c.bootBase = boot()
	c.base = steady.Now()
	c.wallBase = wall(c.base)
	return c
}

// Now returns the time. Its difference to an earlier one includes suspensions between them.
func (c *Clock) Now() time.Time {
	t := c.steady.Now()
	c.checkIfDue(t)
	return t.Add(time.Duration(c.suspended.Load()))
}

// RuntimeTime converts a time of this clock to one of package time that is equally far away.
func (c *Clock) RuntimeTime(t time.Time) time.Time { return t.Add(-time.Duration(c.suspended.Load())) }

// Since returns the time since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// checkIfDue reads the boot clock if there is reason to.
func (c *Clock) checkIfDue(t time.Time) {
	steady := t.Sub(c.base)
	ahead := time.Duration(c.wall(t)-c.wallBase) - steady
	moved := ahead - time.Duration(c.wallLead.Load())
	if moved < minSuspension && moved > -minSuspension && steady-time.Duration(c.checkedAt.Load()) < bootClockInterval {
		return
	}
	c.wallLead.Store(int64(ahead))
	c.checkedAt.Store(int64(steady))
	c.check()
}

// check updates the suspended time from the boot clock.
func (c *Clock) check() {
	// In this order, a thread that is descheduled between the two readings makes the result too
	// small, which the next reading corrects.
	boot := c.boot() - c.bootBase
	away := boot - c.steady.Now().Sub(c.base)
	c.mu.Lock()
	more := away - time.Duration(c.suspended.Load())
	if more < minSuspension {
		c.mu.Unlock()
		return
	}
	c.suspended.Store(int64(away))
	due := make([]*timer, 0, len(c.timers))
	for t := range c.timers {
		due = append(due, t)
	}
	c.mu.Unlock()
	for _, t := range due {
		t.bringForward(more)
	}
	if c.OnSuspend != nil {
		c.OnSuspend(more)
	}
}
