package alarm_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/alarm"
)

// lateClock advances by steps before it sets a timer, as if the process had stood still after it
// read the clock.
type lateClock struct {
	*clockwork.FakeClock

	steps []time.Duration
}

func (c *lateClock) AfterFunc(d time.Duration, f func()) clockwork.Timer {
	c.stand()
	return lateTimer{Timer: c.FakeClock.AfterFunc(d, f), clock: c}
}

func (c *lateClock) stand() {
	if len(c.steps) > 0 {
		c.Advance(c.steps[0])
		c.steps = c.steps[1:]
	}
}

// lateTimer is a timer of a lateClock.
type lateTimer struct {
	clockwork.Timer

	clock *lateClock
}

func (t lateTimer) Reset(d time.Duration) bool {
	t.clock.stand()
	return t.Timer.Reset(d)
}

// TestAfterFunc guards against a timer that is as late as the process stood still before it was
// set, which left a call open that had timed out.
func TestAfterFunc(t *testing.T) {
	const wait = 400 * time.Millisecond
	for name, steps := range map[string][]time.Duration{
		"in time":                   nil,
		"late":                      {100 * time.Millisecond},
		"late twice":                {100 * time.Millisecond, 200 * time.Millisecond},
		"late until the time":       {wait},
		"late until after the time": {wait + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &lateClock{FakeClock: clockwork.NewFakeClock(), steps: steps}
			at := clock.Now().Add(wait)
			fired := make(chan time.Time, 1)
			alarm.AfterFunc(clock, at, func() { fired <- clock.Now() })
			if left := clock.Until(at); left > 0 {
				clock.Advance(left - time.Nanosecond)
				require.Empty(t, fired)
				clock.Advance(time.Nanosecond)
			}
			require.False(t, (<-fired).Before(at))
		})
	}
}

// TestStop checks that a stopped alarm does not fire.
func TestStop(t *testing.T) {
	clock := &lateClock{FakeClock: clockwork.NewFakeClock(), steps: []time.Duration{time.Second}}
	fired := make(chan struct{}, 1)
	timer := alarm.AfterFunc(clock, clock.Now().Add(2*time.Second), func() { fired <- struct{}{} })
	require.True(t, timer.Stop())
	clock.Advance(time.Minute)
	require.Empty(t, fired)
}
