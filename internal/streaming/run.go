package streaming

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dalebend/dalebend/internal/atomictime"
	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/runerr"
	"github.com/dalebend/dalebend/internal/sse"
	"github.com/dalebend/dalebend/internal/wholebody"
)

// run is one generation, on whichever engine it runs.
type run struct {
	relay    *Relay
	job      *Job
	sink     Sink
	expected int
	// ctx ends with the request.
	ctx context.Context

	// lastEvent is when the last event arrived. It keeps the monotonic clock reading; otherwise
	// setting the wall clock forward would make every generation seem stalled.
	lastEvent atomictime.Time
	// moves counts switches to another engine.
	moves atomic.Int32
	// paused is set while no events are read because the caller is behind.
	paused atomic.Bool

	// The goroutine that passes events on writes the fields from here to mu, from the first event
	// on with mu held; other goroutines read them with mu held.

	// began is when the request arrived.
	began time.Time
	// returned is set when the caller has priority after a refusal.
	returned bool
	// prefillAloneSince is when the prompt was sent to an engine without other pending prompts,
	// zero otherwise.
	prefillAloneSince time.Time
	// firstEventForecast is when the first event is expected, zero before an offer.
	firstEventForecast time.Time
	// lastPassed is when the last event was passed on, zero before the first; passedBytes is the
	// size of all.
	lastPassed  time.Time
	passedBytes int
	// timeToFirstEvent counts from began; longestPause is the longest pause after the first event,
	// and longestPausePrefill the engine's pending prefill tokens during that pause.
	timeToFirstEvent    time.Duration
	longestPause        time.Duration
	longestPausePrefill int
	// decodeWindow measures the engine's time per output token.
	decodeWindow decodeWindow

	// mu guards the fields below. It is held while events are passed on, which does not wait for
	// the caller, so that a switch to another engine sees exactly what was passed on.
	mu     sync.Mutex
	split  sse.Splitter
	load   *engineload.Generation
	engine *registry.Server
	backup *registry.Server
	answer *answer
	// switchover is a pending switch to another engine, or nil.
	switchover *switchover
	// move is a pending move of the generation's memory, or nil.
	move *move
	// stops holds the calls that stop the generation at engines that it has left, by engine id.
	stops map[string]*pendingStop
	// nextSwitch is when the next switch away from a stalled engine may be tried.
	nextSwitch time.Time
}

func (x *run) serve(ctx context.Context) error {
	a, err := x.place(ctx)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return x.passNonStream(ctx, a)
	}
	x.sink.Head(a.Status, x.relay.Codec.CallerHeader(a.Header))
	x.mu.Lock()
	x.answer = a
	x.mu.Unlock()
	return x.pump(ctx)
}

// passNonStream passes on an answer that is no stream, if the whole of it arrives.
func (x *run) passNonStream(ctx context.Context, a *answer) error {
	defer a.close()
	body, err := wholebody.Read(ctx, a.Response, x.job.Buffers)
	if err != nil {
		return &runerr.PerhapsRun{Cause: err}
	}
	x.sink.Head(a.Status, x.relay.Codec.CallerHeader(a.Header))
	if err := x.sink.Events(body); err != nil {
		return &Broken{cause: err}
	}
	return nil
}

// setPlacement accounts for the generation at an engine and for its copy at another.
func (x *run) setPlacement(engine, backup *registry.Server) {
	x.mu.Lock()
	x.engine = engine
	x.backup = backup
	if x.load == nil {
		x.relay.AccountShares.RecordTokens(x.job.Account, x.job.Request.PromptTokens+x.expected)
		x.load = x.relay.EngineLoad.Place(engine.ID, idOf(backup), x.job.Request.PromptTokens, x.expected)
	} else {
		x.load.Move(engine.ID, idOf(backup))
	}
	x.mu.Unlock()
	x.relay.loadChanged()
}

func (x *run) clearPlacement() {
	x.mu.Lock()
	load := x.load
	x.load = nil
	x.mu.Unlock()
	if load != nil {
		load.End()
		x.relay.loadChanged()
	}
}

// currentEngine returns the generation's engine, nil before the first offer.
func (x *run) currentEngine() *registry.Server {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.engine
}

func idOf(s *registry.Server) string {
	if s == nil {
		return ""
	}
	return s.ID
}

// silentFor returns the time since the last event, 0 before the first.
func (x *run) silentFor(now time.Time) time.Duration {
	last := x.lastEvent.Load()
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}
