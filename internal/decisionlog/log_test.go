package decisionlog_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dalebend/dalebend/internal/decisionlog"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

var start = time.Date(2026, 5, 4, 12, 0, 0, 123456789, time.UTC)

// blockedWriter blocks each write until it is opened.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func newBlockedWriter() *blockedWriter { return &blockedWriter{open: make(chan struct{})} }

func (g *blockedWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *blockedWriter) lines(t *testing.T) []line {
	g.mu.Lock()
	defer g.mu.Unlock()
	var lines []line
	for text := range strings.Lines(g.text.String()) {
		var l line
		require.NoError(t, json.Unmarshal([]byte(text), &l), text)
		lines = append(lines, l)
	}
	return lines
}

// count returns the number of written lines of an event, without decoding them.
func (g *blockedWriter) count(name event.Name) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return bytes.Count(g.text.Bytes(), []byte(`"event":"`+string(name)+`"`))
}

type line struct {
	Event      string
	Box        string
	QueueFull  int            `json:"queue_full"`
	OverBudget int            `json:"over_budget"`
	ByEvent    map[string]int `json:"by_event"`
}

func count(lines []line, name event.Name) int {
	n := 0
	for _, l := range lines {
		if l.Event == string(name) {
			n++
		}
	}
	return n
}

// run runs a log and returns a function that stops it and waits for its end.
func run(log *decisionlog.Log) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		log.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func TestLine(t *testing.T) {
	defer goleak.VerifyNone(t)
	var out bytes.Buffer
	log := decisionlog.New(&out, clockwork.NewFakeClockAt(start), "box-1")
	stop := run(log)
	log.Emit(event.RequestRefused, slog.String(event.KeyRequest, "r1"), slog.Int(event.KeyStatus, 503))
	log.Logger().With(event.KeyPeer, "box-2").Warn(string(event.PeerLost), event.KeyAway, 600)
	log.Logger().WithGroup("g").Info("start", "msg", 1)
	log.Logger().Debug("not written")
	stop()
	require.Equal(t, `{"time":"2026-05-04T12:00:00.123456Z","level":"WARN","event":"request-refused","box":"box-1","request":"r1","status":503}
{"time":"2026-05-04T12:00:00.123456Z","level":"WARN","event":"peer-lost","box":"box-1","peer":"box-2","away_ms":600}
{"time":"2026-05-04T12:00:00.123456Z","level":"INFO","event":"start","box":"box-1","g":{"msg":1}}
`, out.String())
}

// TestCutLineNamesRequestAndServer: the first 200 bytes of a line tell which request and server it is about.
func TestCutLineNamesRequestAndServer(t *testing.T) {
	var out bytes.Buffer
	log := decisionlog.New(&out, clockwork.NewFakeClockAt(start), "edge-kumamoto-hall-3")
	stop := run(log)
	log.Emit(event.RequestSent, slog.Int(event.KeyAttempt, 1), slog.String(event.KeyServer, "i-705bdab2~E-Ci"),
		slog.String(event.KeyCause, strings.Repeat("x", 300)), slog.String(event.KeyRequest, "ab09865596a66307"))
	stop()
	require.Contains(t, out.String()[:200], `"request":"ab09865596a66307","server":"i-705bdab2~E-Ci","attempt":1,`)
}

// TestLevel checks that lines below the level are left out and not counted as dropped.
func TestLevel(t *testing.T) {
	for level, want := range map[slog.Level][]string{
		slog.LevelDebug: {"details", "start", "peer-lost"},
		slog.LevelInfo:  {"start", "peer-lost"},
		slog.LevelWarn:  {"peer-lost"},
		slog.LevelError: nil,
	} {
		var out bytes.Buffer
		log := decisionlog.New(&out, clockwork.NewFakeClockAt(start), "box-1")
		log.Level = level
		stop := run(log)
		log.Logger().Debug("details")
		log.Logger().Info(string(event.Start))
		log.Emit(event.PeerLost)
		stop()
		var got []string
		for text := range strings.Lines(out.String()) {
			var l line
			require.NoError(t, json.Unmarshal([]byte(text), &l))
			got = append(got, l.Event)
		}
		require.Equal(t, want, got, level)
		require.Zero(t, log.Dropped(), level)
	}
}

// TestBatch checks that lines are written without a stop, together in one write.
func TestBatch(t *testing.T) {
	defer goleak.VerifyNone(t)
	clock := clockwork.NewFakeClockAt(start)
	r, w := io.Pipe()
	log := decisionlog.New(w, clock, "box-1")
	stop := run(log)
	log.Emit(event.Start)
	log.Emit(event.Ready)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	buf := make([]byte, 4096)
	n, err := r.Read(buf)
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(string(buf[:n]), "\n"))
	stop()
}

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

// TestStopIsBounded stops a log whose reader is blocked.
func TestStopIsBounded(t *testing.T) {
	defer goleak.VerifyNone(t)
	clock := clockwork.NewFakeClockAt(start)
	out := newBlockedWriter()
	log := decisionlog.New(out, clock, "box-1")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		log.Run(ctx)
	}()
	log.Emit(event.StopEnds)
	cancel()
	// The first timers may be that of a batch, so the clock advances until Run has ended.
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
			clock.Advance(200 * time.Millisecond)
			runtime.Gosched()
		}
	}
	require.Empty(t, out.lines(t))
	close(out.open)
}

// TestNil uses a nil log.
func TestNil(t *testing.T) {
	var log *decisionlog.Log
	log.Emit(event.Start)
	log.Logger().Info("start")
	require.Zero(t, log.Dropped())
}

// TestParallel writes from many goroutines at the same time.
func TestParallel(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := newBlockedWriter()
	close(out.open)
	log := decisionlog.New(out, clockwork.NewRealClock(), "box-1")
	stop := run(log)
	names := []event.Name{event.Start, event.Ready, event.PeerLost, event.StreamMoved}
	var wg sync.WaitGroup
	for _, name := range names {
		for g := range 4 {
			wg.Go(func() {
				for i := range 50 {
					log.Emit(name, slog.String(event.KeyRequest, fmt.Sprintf("%d-%d", g, i)))
				}
			})
		}
	}
	wg.Wait()
	stop()
	require.Len(t, out.lines(t), 4*4*50)
}

// notifyWriter sends on a channel for each write.
type notifyWriter chan struct{}

func (n notifyWriter) Write(p []byte) (int, error) {
	n <- struct{}{}
	return len(p), nil
}

// BenchmarkEmit writes lines that are read in batches of 100.
func BenchmarkEmit(b *testing.B) {
	clock := clockwork.NewFakeClockAt(start)
	written := make(notifyWriter)
	log := decisionlog.New(written, clock, "box-1")
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go log.Run(ctx)
	b.ReportAllocs()
	for i := 1; b.Loop(); i++ {
		emitRequestSent(log)
		if i%100 == 0 {
			require.NoError(b, clock.BlockUntilContext(ctx, 1))
			clock.Advance(time.Second)
			<-written
		}
	}
	require.Zero(b, log.Dropped())
}

func emitRequestSent(log *decisionlog.Log) {
	log.Emit(event.RequestSent,
		slog.String(event.KeyRequest, "0123456789abcdef"),
		slog.String(event.KeyServer, "engine-12"),
		slog.Int(event.KeyAttempt, 1),
		slog.String(event.KeyCause, "least-load"),
		slog.Int(event.KeyCandidates, 14),
		slog.Int(event.KeyLoad, 50),
		slog.Uint64(event.KeyViewRevision, 812),
		slog.Int64(event.KeyViewAge, 40))
}
