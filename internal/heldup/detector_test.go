package heldup_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/heldup"
)

// TestSendsWaitAfterAPause: what is to be sent when the process runs again waits until what came meanwhile is read.
func TestSendsWaitAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pauses []time.Duration
		d := &heldup.Detector{Clock: clockwork.NewRealClock(), OnHeldUp: func(p time.Duration) { pauses = append(pauses, p) }}
		waits := func() time.Duration {
			began := time.Now()
			require.NoError(t, d.Await(t.Context()))
			return time.Since(began)
		}
		time.Sleep(time.Hour)
		require.Zero(t, waits(), "nothing was checked yet")
		d.Check()
		time.Sleep(heldup.Threshold - 1)
		require.Zero(t, waits())
		d.Check()
		time.Sleep(3 * time.Second)
		require.Equal(t, 100*time.Millisecond, waits(), "a request may run before the check")
		require.Zero(t, waits())
		d.Check()
		time.Sleep(3 * time.Second)
		d.Check()
		time.Sleep(40 * time.Millisecond)
		require.Equal(t, 60*time.Millisecond, waits())
		require.Equal(t, []time.Duration{3 * time.Second, 3 * time.Second}, pauses)
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.ErrorIs(t, d.Await(ctx), context.Canceled)
		var none *heldup.Detector
		none.Check()
		require.NoError(t, none.Await(t.Context()))
	})
}

// TestLongPauseIsOverOnceCaughtUp: after a long pause what is to be sent waits until the process knows again what it
// should, a second at most.
func TestLongPauseIsOverOnceCaughtUp(t *testing.T) {
	for after, waits := range map[time.Duration]time.Duration{
		0: 100 * time.Millisecond, 450 * time.Millisecond: 450 * time.Millisecond, time.Hour: time.Second,
	} {
		synctest.Test(t, func(t *testing.T) {
			d := &heldup.Detector{Clock: clockwork.NewRealClock(), LongPause: 700 * time.Millisecond}
			d.CaughtUp = func(resumed time.Time) bool {
				d.Check()
				return time.Since(resumed) >= after
			}
			d.Check()
			require.True(t, d.Resumed().IsZero())
			time.Sleep(2 * time.Second)
			began := time.Now()
			require.NoError(t, d.Await(t.Context()))
			require.Equal(t, waits, time.Since(began))
			require.Equal(t, began, d.Resumed())
			d.Check()
			time.Sleep(699 * time.Millisecond)
			require.NoError(t, d.Await(t.Context()))
			require.Equal(t, began, d.Resumed(), "not a long pause")
		})
	}
}
