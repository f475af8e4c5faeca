package keeper_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/fingerprint"
	"github.com/dalebend/dalebend/internal/quarantine"
	"github.com/dalebend/dalebend/internal/quarantine/keeper"
	"github.com/dalebend/dalebend/internal/storerev"
)

// store is an in-memory store that can be unavailable.
type store struct {
	mu      sync.Mutex
	holds   map[fingerprint.Fingerprint]quarantine.Hold
	changes []keeper.Change
	away    bool
	// era is that of the store; at joins it with a number.
	era     int64
	changed chan struct{}
	calls   chan struct{}
}

var (
	errAway     = errors.New("away")
	errReturned = errors.New("came back from an older copy")
)

// at returns the revision of a change in the present era.
func (s *store) at(number int) storerev.Revision {
	r, err := storerev.New(s.era, int64(number))
	if err != nil {
		panic(err)
	}
	return r
}

// comeBack lets the store come back from a copy without holds.
func (s *store) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.holds, s.changes = make(map[fingerprint.Fingerprint]quarantine.Hold), nil
	close(s.changed)
	s.changed = make(chan struct{})
}

func newStore() *store {
	return &store{
		holds: make(map[fingerprint.Fingerprint]quarantine.Hold), changed: make(chan struct{}), calls: make(chan struct{}, 100),
	}
}

func (s *store) Holds(context.Context) ([]quarantine.Hold, storerev.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, 0, errAway
	}
	var list []quarantine.Hold
	for _, h := range s.holds {
		list = append(list, h)
	}
	return list, s.at(len(s.changes)), nil
}

func (s *store) WatchHolds(ctx context.Context, from storerev.Revision, _ time.Duration) ([]keeper.Change, storerev.Revision, error) {
	for {
		s.mu.Lock()
		changes, changed, away, at := s.changes, s.changed, s.away, s.at(len(s.changes))
		s.mu.Unlock()
		switch {
		case away:
			return nil, 0, errAway
		case from.EarlierEra(at):
			return nil, 0, errReturned
		case int(from.Number()) < len(changes):
			return changes[from.Number():], at, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *store) PutHold(_ context.Context, h quarantine.Hold) error {
	return s.change(keeper.Change{Hold: h})
}

func (s *store) DropHold(_ context.Context, f fingerprint.Fingerprint) error {
	return s.change(keeper.Change{Hold: quarantine.Hold{Fingerprint: f}, Removed: true})
}

func (s *store) change(c keeper.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.calls <- struct{}{} }()
	if s.away {
		return errAway
	}
	f := c.Hold.Fingerprint
	if _, there := s.holds[f]; there != c.Removed {
		return nil
	}
	s.changes = append(s.changes, c)
	s.holds[f] = c.Hold
	if c.Removed {
		delete(s.holds, f)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *store) has() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holds) > 0
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holds)
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// box is a tracker with its keeper.
type box struct {
	*keeper.Keeper
	clock *clockwork.FakeClock
}

func newBox(s *store) *box {
	clock := clockwork.NewFakeClock()
	logger := slog.New(slog.DiscardHandler)
	b := &box{clock: clock, Keeper: &keeper.Keeper{Clock: clock, Logger: logger, Source: s}}
	b.Tracker = &quarantine.Tracker{Clock: clock, Logger: logger, OnChange: b.Wake}
	return b
}

// follow runs the keeper until the test ends.
func (b *box) follow(t *testing.T) {
	t.Helper()
	require.NoError(t, b.Load(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); b.Follow(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// hold records three servers that end under request 1.
func (b *box) hold(t *testing.T) {
	t.Helper()
	for _, server := range []string{"s1", "s2", "s3"} {
		try, err := b.Tracker.Begin(&quarantine.Subject{Fingerprint: 1, Account: "a"})
		require.NoError(t, err)
		try.RecordServerEnd(server, "test")
	}
}

func await(t *testing.T, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, time.Minute, time.Millisecond)
}

// TestHoldsOutliveBoxes: a hold of one box is written, and read by another that starts later.
func TestHoldsOutliveBoxes(t *testing.T) {
	s := newStore()
	first := newBox(s)
	first.follow(t)
	first.hold(t)
	await(t, func() bool { return s.has() })
	second := newBox(s)
	require.NoError(t, second.Load(t.Context()))
	require.Error(t, second.Tracker.Check(&quarantine.Subject{Fingerprint: 1}))
	require.NoError(t, second.Tracker.Check(&quarantine.Subject{Fingerprint: 2}))
}

// TestHeardInTheStore: a box without peers learns of a hold, and of its end, from the store.
func TestHeardInTheStore(t *testing.T) {
	s := newStore()
	first, second := newBox(s), newBox(s)
	first.follow(t)
	second.follow(t)
	first.hold(t)
	await(t, func() bool { return second.Tracker.NumHeld() == 1 })
	// An operator lifts it.
	await(t, func() bool { return s.has() })
	require.NoError(t, s.DropHold(t.Context(), 1))
	await(t, func() bool { return first.Tracker.NumHeld()+second.Tracker.NumHeld() == 0 })
	require.NoError(t, first.Tracker.Check(&quarantine.Subject{Fingerprint: 1}))
}

// TestLiftedMeanwhile: a hold that was removed while nobody watched is not written again.
func TestLiftedMeanwhile(t *testing.T) {
	s := newStore()
	b := newBox(s)
	require.NoError(t, b.Load(t.Context()))
	b.hold(t)
	require.True(t, b.Flush(t.Context()))
	require.NoError(t, s.DropHold(t.Context(), 1))
	b.clock.Advance(time.Millisecond)
	require.NoError(t, b.Load(t.Context()))
	require.Zero(t, b.Tracker.NumHeld())
	require.True(t, b.Flush(t.Context()))
	require.False(t, s.has())
}

// TestClearedIsTakenOut: a hold that is cleared by a complete answer is removed from the store.
func TestClearedIsTakenOut(t *testing.T) {
	s := newStore()
	b := newBox(s)
	b.follow(t)
	late, err := b.Tracker.Begin(&quarantine.Subject{Fingerprint: 1, Account: "a"})
	require.NoError(t, err)
	b.hold(t)
	await(t, func() bool { return s.has() })
	b.clock.Advance(time.Millisecond)
	late.RecordAnswer()
	await(t, func() bool { return !s.has() })
	require.Zero(t, b.Tracker.NumHeld())
}

// TestExplainedStays: a hold stays in the store while another one explains its ends, and other boxes lift nothing. It
// guards against all boxes forgetting a segment that crashes servers, as one of them held another segment for it.
func TestExplainedStays(t *testing.T) {
	s := newStore()
	first, second := newBox(s), newBox(s)
	for _, b := range []*box{first, second} {
		require.NoError(t, b.Load(t.Context()))
	}
	end := func(request uint64, server, segment string) {
		try, err := first.Tracker.Begin(&quarantine.Subject{Fingerprint: fingerprint.Fingerprint(request), Account: "a", Segments: []string{segment}})
		require.NoError(t, err)
		try.RecordServerEnd(server, "test")
		first.clock.Advance(time.Second)
	}
	for n, server := range []string{"s1", "s2", "s3"} {
		end(uint64(10+n), server, "topic")
	}
	require.True(t, first.Flush(t.Context()))
	for n, server := range []string{"s1", "s2", "s3", "s4"} {
		end(uint64(20+n), server, "deadly")
	}
	require.Equal(t, 1, first.Tracker.NumSegmentsHeld(), "the one that explains all")
	require.True(t, first.Flush(t.Context()))
	require.Equal(t, 2, s.count())
	require.NoError(t, second.Load(t.Context()))
	require.True(t, second.Flush(t.Context()))
	require.Equal(t, 2, s.count())
	require.Equal(t, 1, second.Tracker.NumSegmentsHeld())
}

// TestStoreAway: a hold that could not be written is written when the store returns.
func TestStoreAway(t *testing.T) {
	s := newStore()
	b := newBox(s)
	b.follow(t)
	s.setAway(true)
	b.hold(t)
	<-s.calls
	require.False(t, s.has())
	s.setAway(false)
	await(t, func() bool {
		b.clock.Advance(100 * time.Millisecond)
		return s.has()
	})
}

// TestFlush: a box that has never reached the store writes nothing; one that has writes the missing
// holds.
func TestFlush(t *testing.T) {
	s := newStore()
	b := newBox(s)
	b.hold(t)
	require.True(t, b.Flush(t.Context()))
	require.False(t, s.has())
	require.NoError(t, b.Load(t.Context()))
	require.True(t, b.Flush(t.Context()))
	require.True(t, s.has())
}

// slowStore returns the list as it was when the call began.
type slowStore struct {
	*store
	listed, answer chan struct{}
}

func (s *slowStore) Holds(ctx context.Context) ([]quarantine.Hold, storerev.Revision, error) {
	holds, at, err := s.store.Holds(ctx)
	close(s.listed)
	<-s.answer
	return holds, at, err
}

// TestWrittenMeanwhile: a hold that is written while the list is read is not taken for lifted.
func TestWrittenMeanwhile(t *testing.T) {
	s := newStore()
	b := newBox(s)
	require.NoError(t, b.Load(t.Context()))
	b.hold(t)
	slow := &slowStore{store: s, listed: make(chan struct{}), answer: make(chan struct{})}
	b.Source = slow
	loaded := make(chan error, 1)
	go func() { loaded <- b.Load(t.Context()) }()
	<-slow.listed
	require.True(t, b.Flush(t.Context()))
	b.clock.Advance(time.Millisecond)
	close(slow.answer)
	require.NoError(t, <-loaded)
	require.Equal(t, 1, b.Tracker.NumHeld())
	require.True(t, b.Flush(t.Context()))
	require.True(t, s.has())
}

// TestHoldsLostInAReturn guards against holds that are lifted at all boxes, and their requests given to servers again, as the
// store came back from a copy that lacks them. One that is removed afterwards is lifted as always.
func TestHoldsLostInAReturn(t *testing.T) {
	s := newStore()
	s.era = 4
	first, second := newBox(s), newBox(s)
	first.follow(t)
	second.follow(t)
	first.hold(t)
	await(t, func() bool { return second.Tracker.NumHeld() == 1 })
	await(t, s.has)
	s.comeBack()
	await(t, func() bool {
		first.clock.Advance(100 * time.Millisecond)
		second.clock.Advance(100 * time.Millisecond)
		return s.has()
	})
	require.Equal(t, 1, first.Tracker.NumHeld())
	require.Equal(t, 1, second.Tracker.NumHeld())
	require.Equal(t, 1, s.count())
	require.NoError(t, s.DropHold(t.Context(), 1))
	await(t, func() bool {
		first.clock.Advance(100 * time.Millisecond)
		second.clock.Advance(100 * time.Millisecond)
		return first.Tracker.NumHeld()+second.Tracker.NumHeld() == 0
	})
}
