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
