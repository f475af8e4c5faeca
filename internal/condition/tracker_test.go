package condition_test

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/brittle"
	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/departure"
	"github.com/dalebend/dalebend/internal/holdoff"
	"github.com/dalebend/dalebend/internal/serverlimit"
)

// servers ignores reports that servers leave.
type servers struct{}

func (servers) Decline(...string) {}
func (servers) Stays(string) bool { return true }

// newTracker returns an empty tracker that logs to out.
func newTracker(clock clockwork.Clock, out *strings.Builder) *condition.Tracker {
	logger := slog.New(slog.NewTextHandler(out, nil))
	draw := func() float64 { return 0 }
	live := func() []string { return nil }
	return &condition.Tracker{
		Logger:     logger,
		Limits:     &serverlimit.Tracker{Clock: clock, Logger: logger, Live: live, Draw: draw},
		Departures: &departure.Tracker{Clock: clock, Logger: logger, Servers: servers{}, Live: live, Draw: draw},
		HoldOffs:   &holdoff.Tracker{Clock: clock, Logger: logger, Draw: draw},
	}
}

// unreadable returns an answer with conditions that cannot be parsed.
func unreadable(words ...backend.ConditionKind) condition.Answer {
	a := condition.Answer{Verified: true}
	for _, w := range words {
		a.Unreadable = append(a.Unreadable, backend.Unreadable{Kind: w, Err: errors.New("nonsense")})
	}
	return a
}

// TestUnreadable: an unreadable condition is logged once per server instance and changes nothing:
// the limit and the hold-off that are in force remain.
func TestUnreadable(t *testing.T) {
	var out strings.Builder
	clock := clockwork.NewFakeClock()
	b := newTracker(clock, &out)
	for range 3 {
		b.RecordAnswer("s1", unreadable(backend.KindLimit, backend.KindLeaving, backend.KindHoldOff))
	}
	require.Equal(t, 3, strings.Count(out.String(), "msg=condition-refused"))
	require.Zero(t, b.Limits.NumLimited()+b.Departures.NumLeaving()+b.HoldOffs.NumHeldOff())

	b.RecordAnswer("s2", condition.Answer{Condition: backend.Condition{Limit: backend.Limit{Stated: true, PerSecond: 4}, HoldOff: time.Second}})
	clock.Advance(2 * time.Second)
	for range 3 {
		a := unreadable(backend.KindLimit, backend.KindHoldOff)
		a.Sent = clock.Now()
		b.RecordAnswer("s2", a)
	}
	require.Equal(t, 1, b.Limits.NumLimited())
	require.Equal(t, 1, b.HoldOffs.NumHeldOff())
	require.Equal(t, 5, strings.Count(out.String(), "msg=condition-refused"))

	b.Retain(func(server string) bool { return server == "s2" })
	b.RecordAnswer("s1", unreadable(backend.KindLimit))
	require.Equal(t, 6, strings.Count(out.String(), "msg=condition-refused"), "a later instance is logged again")
}

// TestNothingKnown: a tracker without parts accepts any answer.
func TestNothingKnown(*testing.T) {
	a := condition.Answer{Condition: backend.Condition{Leaving: true, HoldOff: time.Second, Limit: backend.Limit{Stated: true}}}
	(*condition.Tracker)(nil).RecordAnswer("s", a)
	(&condition.Tracker{}).RecordAnswer("s", a)
}

// TestBrittleRest: a request that a brittle server turned away makes the box rest, for longer than the server
// asks for; one that any other server turned away does not.
func TestBrittleRest(t *testing.T) {
	var out strings.Builder
	clock := clockwork.NewFakeClock()
	b := newTracker(clock, &out)
	b.Brittle = &brittle.Tracker{
		Clock: clock, Logger: b.Logger, Box: "a", Live: func() []string { return []string{"a", "b"} },
	}
	turned := condition.Answer{NotRun: true, Sent: clock.Now()}
	b.RecordAnswer("s1", turned)
	require.True(t, b.Accepts("s1", "service", 0))
	turned.Brittle = backend.Brittle{Stated: true, PerSecond: 5}
	turned.HoldOff = 100 * time.Millisecond
	b.RecordAnswer("s1", turned)
	require.False(t, b.Accepts("s1", "service", 0))
	clock.Advance(499 * time.Millisecond)
	require.False(t, b.Accepts("s1", "service", 0), "two boxes, 5 a second, and a quarter more")
	clock.Advance(time.Millisecond)
	require.True(t, b.Accepts("s1", "service", 0))
}
