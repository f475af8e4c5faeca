package decisionlog_test

import (
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dalebend/dalebend/internal/decisionlog"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// TestStalledReader writes far more than the queue holds while the reader is blocked.
func TestStalledReader(t *testing.T) {
	defer goleak.VerifyNone(t)
	clock := clockwork.NewFakeClockAt(start)
	out := newBlockedWriter()
	log := decisionlog.New(out, clock, "box-1")
	stop := run(log)
	const each, seconds = 200, 40
	text := strings.Repeat("x", 100)
	for range seconds {
		for range each {
			log.Emit(event.RequestSent, slog.String(event.KeyRequest, text))
		}
		clock.Advance(time.Second)
	}
	dropped := int(log.Dropped())
	require.NotZero(t, dropped)
	// The part of the queue that info lines may not use is reserved for warnings.
	log.Emit(event.ServerEjected, slog.String(event.KeyServer, "e1"))
	require.Equal(t, dropped, int(log.Dropped()))
	close(out.open)
	stop()

	lines := out.lines(t)
	require.Equal(t, 1, count(lines, event.ServerEjected))
	require.Equal(t, each*seconds, count(lines, event.RequestSent)+dropped)
	require.Equal(t, dropped, sumReported(lines))
}

// TestWarningsAreBounded fills the queue with warnings while the reader is blocked.
func TestWarningsAreBounded(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := newBlockedWriter()
	log := decisionlog.New(out, clockwork.NewFakeClockAt(start), "box-1")
	stop := run(log)
	const limit, size = 256 << 10, 4 << 10
	text := strings.Repeat("x", size)
	for range 2 * limit / size {
		log.Emit(event.ServerEjected, slog.String(event.KeyCause, text))
		log.Emit(event.PeerLost, slog.String(event.KeyCause, text))
	}
	require.NotZero(t, log.Dropped())
	close(out.open)
	stop()
	// The queued lines, and the batch that is being written.
	require.LessOrEqual(t, out.text.Len(), 2*limit)
	require.Equal(t, int(log.Dropped()), sumReported(out.lines(t)))
}

// TestCrowdedQueue checks that a batch is written early if much is queued.
func TestCrowdedQueue(t *testing.T) {
	defer goleak.VerifyNone(t)
	written := make(notifyWriter)
	log := decisionlog.New(written, clockwork.NewFakeClockAt(start), "box-1")
	stop := run(log)
	text := strings.Repeat("x", 1<<10)
	for range 100 {
		log.Emit(event.StreamMoved, slog.String(event.KeyReason, text))
	}
	<-written
	go func() {
		for range written {
		}
	}()
	stop()
	close(written)
}

// TestLateReport checks that drops are reported each time even if no further line is written.
func TestLateReport(t *testing.T) {
	defer goleak.VerifyNone(t)
	clock := clockwork.NewFakeClockAt(start)
	out := newBlockedWriter()
	close(out.open)
	log := decisionlog.New(out, clock, "box-1")
	stop := run(log)
	for round := range 4 {
		for range 1000 {
			log.Emit(event.PeerLost)
		}
		for out.count(event.LinesDropped) <= round {
			clock.Advance(10 * time.Millisecond)
			runtime.Gosched()
		}
	}
	stop()
	require.Equal(t, int(log.Dropped()), sumReported(out.lines(t)))
}

func sumReported(lines []line) int {
	n := 0
	for _, l := range lines {
		n += l.QueueFull + l.OverBudget
	}
	return n
}

// TestBudget lets one event exceed its budget, and checks that other events are unaffected, drops
// are counted, and the budget refills.
func TestBudget(t *testing.T) {
	defer goleak.VerifyNone(t)
	clock := clockwork.NewFakeClockAt(start)
	out := newBlockedWriter()
	close(out.open)
	log := decisionlog.New(out, clock, "box-1")
	stop := run(log)
	for range 1000 {
		log.Emit(event.PeerLost)
	}
	log.Emit(event.ServerEjected)
	clock.Advance(time.Second)
	for range 1000 {
		log.Emit(event.PeerLost)
	}
	stop()

	lines := out.lines(t)
	require.Equal(t, 400+200, count(lines, event.PeerLost))
	require.Equal(t, 1, count(lines, event.ServerEjected))
	require.Equal(t, 1400, int(log.Dropped()))
	require.Equal(t, 1400, sumReported(lines))
	for _, l := range lines {
		for name := range l.ByEvent {
			require.Equal(t, string(event.PeerLost), name)
		}
	}
}

// TestReportSpacing checks that continuous drops are reported once per second.
func TestReportSpacing(t *testing.T) {
	defer goleak.VerifyNone(t)
	clock := clockwork.NewFakeClockAt(start)
	out := newBlockedWriter()
	close(out.open)
	log := decisionlog.New(out, clock, "box-1")
	stop := run(log)
	const steps = 50
	for range steps {
		for range 500 {
			log.Emit(event.PeerLost)
		}
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(100 * time.Millisecond)
	}
	stop()
	reports := count(out.lines(t), event.LinesDropped)
	require.GreaterOrEqual(t, reports, 2)
	// One for each of the five seconds, one at the start and one at the stop.
	require.LessOrEqual(t, reports, 7)
}
