package reader_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/condition/reader"
	"github.com/dalebend/dalebend/internal/departure"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/heldup"
	"github.com/dalebend/dalebend/internal/holdoff"
	"github.com/dalebend/dalebend/internal/serverlimit"
)

// codec takes status 421 for "another server has the address", and the headers Limit, Leaving and
// Wait for a limit of 3, a leaving server, and a hold-off of a second.
type codec struct{ backend.Codec }

func (codec) NotRun(status int, _ http.Header) bool { return status == http.StatusServiceUnavailable }

func (codec) Misdirected(status int) bool  { return status == http.StatusMisdirectedRequest }
func (codec) Authentic(h http.Header) bool { return h.Get("Proof") != "" }
func (codec) Condition(_ int, h http.Header) backend.Condition {
	c := backend.Condition{Limit: backend.Limit{Stated: h.Get("Limit") != "", PerSecond: 3}, Leaving: h.Get("Leaving") != ""}
	if h.Get("Wait") != "" {
		c.HoldOff = time.Second
	}
	return c
}

// answers is an exchanger that always returns the same answer, or none.
type answers struct{ resp *exchange.Response }

func (a answers) Do(context.Context, exchange.Target, *exchange.Request) (*exchange.Response, error) {
	if a.resp == nil {
		return nil, errors.New("no answer")
	}
	return a.resp, nil
}
func (answers) Listens(context.Context, exchange.Target) error { return nil }

// servers ignores reports that servers leave.
type servers struct{}

func (servers) Decline(...string) {}
func (servers) Stays(string) bool { return true }

// fleet is the servers that leave.
type fleet struct{ leaving, gone bool }

func (f *fleet) Takes(string) bool       { return !f.leaving && !f.gone }
func (f *fleet) MayContinue(string) bool { return !f.gone }

// newTracker returns an empty tracker.
func newTracker() *condition.Tracker {
	clock := clockwork.NewFakeClock()
	logger := slog.New(slog.DiscardHandler)
	draw := func() float64 { return 0 }
	live := func() []string { return nil }
	return &condition.Tracker{
		Logger:     logger,
		Limits:     &serverlimit.Tracker{Clock: clock, Logger: logger, Live: live, Draw: draw},
		Departures: &departure.Tracker{Clock: clock, Logger: logger, Servers: servers{}, Live: live, Draw: draw},
		HoldOffs:   &holdoff.Tracker{Clock: clock, Logger: logger, Draw: draw},
	}
}

// TestReads: conditions are read from answers of any status, but not from those of another server
// at the address.
func TestReads(t *testing.T) {
	said := http.Header{"Limit": {"3"}, "Leaving": {"1"}, "Wait": {"1"}}
	for name, c := range map[string]struct {
		status int
		header http.Header
		known  int
	}{
		"a good answer":       {http.StatusOK, said, 1},
		"a failure":           {http.StatusInternalServerError, said, 1},
		"turned away":         {http.StatusServiceUnavailable, said, 1},
		"of another server":   {http.StatusMisdirectedRequest, said, 0},
		"without a condition": {http.StatusOK, http.Header{"Proof": {"p"}}, 0},
		"no answer whatever":  {},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			r := &reader.Reader{Clock: tracker.Limits.Clock, Codec: codec{}, Servers: &fleet{}, Tracker: tracker}
			a := answers{}
			if c.status > 0 {
				a.resp = &exchange.Response{Status: c.status, Header: c.header}
			}
			r.Exchanger = a
			resp, err := r.Do(t.Context(), exchange.Target{Key: "s"}, &exchange.Request{})
			require.Equal(t, a.resp, resp)
			require.Equal(t, a.resp == nil, err != nil)
			require.Equal(t, c.known, tracker.Limits.NumLimited())
			require.Equal(t, c.known, tracker.Departures.NumLeaving())
			require.Equal(t, c.known, tracker.HoldOffs.NumHeldOff())
		})
	}
}

// TestWithheld: a request whose server reports that it leaves before there is a connection is not
// sent; the continuation of a run on that server is.
func TestWithheld(t *testing.T) {
	tracker := newTracker()
	r := &reader.Reader{Clock: tracker.Limits.Clock, Codec: codec{}, Servers: &fleet{}, Tracker: tracker, Exchanger: answers{}}
	fresh, goesOn := &exchange.Request{}, &exchange.Request{Continues: true}
	for _, request := range []*exchange.Request{fresh, goesOn} {
		_, err := r.Do(t.Context(), exchange.Target{Key: "s"}, request)
		require.Error(t, err)
	}
	require.NoError(t, fresh.BeforeSend())
	tracker.Departures.RecordAnswer("s")
	require.ErrorContains(t, fresh.BeforeSend(), "s leaves, as its answer said")
	require.NoError(t, goesOn.BeforeSend())
}

// TestLeavingWhileConnecting: a request whose server's entry leaves before there is a connection is not sent.
func TestLeavingWhileConnecting(t *testing.T) {
	tracker, f := newTracker(), &fleet{}
	r := &reader.Reader{Clock: tracker.Limits.Clock, Codec: codec{}, Servers: f, Tracker: tracker, Exchanger: answers{}}
	called := 0
	fresh := &exchange.Request{}
	goesOn := &exchange.Request{Continues: true, BeforeSend: func() error { called++; return nil }}
	for _, request := range []*exchange.Request{fresh, goesOn} {
		_, err := r.Do(t.Context(), exchange.Target{Key: "s"}, request)
		require.Error(t, err)
		require.NoError(t, request.BeforeSend())
	}
	f.leaving = true
	require.ErrorContains(t, fresh.BeforeSend(), "the server leaves or is gone: s")
	require.NoError(t, goesOn.BeforeSend())
	f.gone = true
	require.Error(t, goesOn.BeforeSend())
	require.Equal(t, 2, called, "a withheld request is not taken for sent")
}

// goingFleet is servers that are gone from a moment on.
type goingFleet struct{ gone atomic.Bool }

func (f *goingFleet) Takes(string) bool       { return !f.gone.Load() }
func (f *goingFleet) MayContinue(string) bool { return !f.gone.Load() }

// sending is an exchanger that sends at once.
type sending struct{ answers }

func (s sending) Do(ctx context.Context, t exchange.Target, r *exchange.Request) (*exchange.Response, error) {
	if err := r.BeforeSend(); err != nil {
		return nil, err
	}
	return s.answers.Do(ctx, t, r)
}

// TestNewsOfAPauseAreReadBeforeASend: a request that waits when the process runs again is not sent to a server that
// left while it did not.
func TestNewsOfAPauseAreReadBeforeASend(t *testing.T) {
	for _, continues := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			known := &goingFleet{}
			tracker := newTracker()
			r := &reader.Reader{
				Exchanger: sending{answers{resp: &exchange.Response{Status: http.StatusOK}}}, Clock: clockwork.NewRealClock(),
				Codec: codec{}, Servers: known, Tracker: tracker, HeldUp: &heldup.Detector{Clock: clockwork.NewRealClock()},
			}
			r.HeldUp.Check()
			_, err := r.Do(t.Context(), exchange.Target{Key: "s"}, &exchange.Request{Continues: continues})
			require.NoError(t, err)
			time.Sleep(2500 * time.Millisecond)
			news := time.AfterFunc(20*time.Millisecond, func() { known.gone.Store(true) })
			defer news.Stop()
			_, err = r.Do(t.Context(), exchange.Target{Key: "s"}, &exchange.Request{Continues: continues})
			require.ErrorContains(t, err, "withheld")
		})
	}
}

// TestRequestThatEndedInAPauseIsNotSent: a request whose deadline passed while the process did not run is not sent after it.
func TestRequestThatEndedInAPauseIsNotSent(t *testing.T) {
	for _, continues := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := &reader.Reader{
				Exchanger: sending{answers{resp: &exchange.Response{Status: http.StatusOK}}}, Clock: clockwork.NewRealClock(),
				Codec: codec{}, Servers: &goingFleet{}, Tracker: newTracker(), HeldUp: &heldup.Detector{Clock: clockwork.NewRealClock()},
			}
			r.HeldUp.Check()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			time.Sleep(2500 * time.Millisecond)
			_, err := r.Do(ctx, exchange.Target{Key: "s"}, &exchange.Request{Continues: continues})
			require.ErrorIs(t, err, context.DeadlineExceeded)
		})
	}
}
