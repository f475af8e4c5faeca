package streaming

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/moment"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/runerr"
	"github.com/dalebend/dalebend/internal/sse"
)

// readSize is the buffer of one read, in bytes: some ten events.
const readSize = 4 << 10

// run is one generation, wherever its engine is.
type run struct {
	relay    *Relay
	job      *Job
	sink     Sink
	expected int
	// ctx ends with the request.
	ctx context.Context

	// progress is when the last event came. Its distance to now must not change with the time
	// of day: every generation would seem silent when that is set ahead.
	progress moment.Moment
	// moves counts switches to another engine.
	moves atomic.Int32
	// paused is set while events are not read on, as the caller doesn't take them.
	paused atomic.Bool

	// What follows up to mu is written by the goroutine that passes events on, from the first event
	// on with mu held; other goroutines read it with mu held.

	// began is when the request came.
	began time.Time
	// returned is set when the caller was refused and goes first now.
	returned bool
	// aloneSince is when the prompt was sent to an engine where no other stood before it, zero
	// if others did.
	aloneSince time.Time
	// forecast is when the first event was expected, zero before an offer.
	forecast time.Time
	// passed is when the last event was passed on, zero before the first, and passedBytes the size
	// of all.
	passed      time.Time
	passedBytes int
	// first is the time to the first event, longest the longest pause after that, and
	// longestBeside the number of prompt tokens that the engine had to read at that pause.
	first         time.Duration
	longest       time.Duration
	longestBeside int
	// tempo measures how fast the engine makes tokens.
	tempo window

	// mu guards what follows. It is held while events are passed on, which doesn't wait for
	// the caller, so that a switch to another engine sees exactly what was passed on.
	mu     sync.Mutex
	split  sse.Splitter
	load   *engineload.Run
	engine *registry.Server
	backup *registry.Server
	answer *answer
	// change is a switch to another engine under way, or nil.
	change *change
	// move is a move of the generation's memory, or nil.
	move *move
	// notBefore is when the next switch away from a silent engine may be tried.
	notBefore time.Time
}

// change is a switch of a running stream to another engine.
type change struct {
	// done is closed when the switch succeeded or failed.
	done chan struct{}
	// answer is the stream at the new engine, nil if the switch failed.
	answer *answer
}

// move is a move of a generation's memory to another engine.
type move struct {
	// done is closed when the move succeeded or failed.
	done chan struct{}
	// stopping is set once the engine may have stopped the generation.
	stopping bool
	// at is where the generation goes on, nil if the move failed.
	at *copyAt
	// tooLate is set when the generation had ended by itself before it could be stopped.
	tooLate bool
}

// copyAt is a copy of the generation's memory.
type copyAt struct {
	// server holds it; holder is the address that it was named at.
	server *registry.Server
	holder string
	name   string
	// paid is set when the retry that goes on there is taken already.
	paid bool
}

func (x *run) serve(ctx context.Context) error {
	a, err := x.place(ctx)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return x.passWhole(a)
	}
	x.sink.Head(a.Status, x.relay.Codec.Answer(a.Header))
	x.mu.Lock()
	x.answer = a
	x.mu.Unlock()
	return x.pump(ctx)
}

// passWhole passes on an answer that is no stream.
func (x *run) passWhole(a *answer) error {
	defer a.close()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWhole))
	if err != nil {
		return &runerr.PerhapsRun{Cause: err}
	}
	x.sink.Head(a.Status, x.relay.Codec.Answer(a.Header))
	if err := x.sink.Events(body); err != nil {
		return &Broken{cause: err}
	}
	return nil
}

// maxWhole bounds an engine's answer that is no stream, in bytes.
const maxWhole = 256 << 10

// pump passes events on until the stream has ended, here or elsewhere.
func (x *run) pump(ctx context.Context) error {
	buf := make([]byte, readSize)
	for {
		a := x.current()
		if err := x.awaitCaller(ctx); err != nil {
			a.close()
			return &Broken{cause: err}
		}
		n, err := a.Body.Read(buf)
		passErr := x.pass(ctx, buf[:n])
		if err == nil && passErr == nil {
			continue
		}
		a.close()
		if passErr == nil {
			passErr = x.closed(ctx)
		}
		if errors.Is(passErr, errSwitched) {
			continue
		}
		if passErr != nil {
			return &Broken{cause: passErr}
		}
		if errors.Is(err, io.EOF) && x.endedWhole(ctx, a) {
			x.finished()
			return nil
		}
		if err := x.goOn(ctx, err); err != nil {
			return &Broken{cause: err}
		}
	}
}

// closed notes that the stream has ended, so that no switch begins until it goes
// on. It waits for one that is under way.
func (x *run) closed(ctx context.Context) error {
	if err := x.lockUnswitched(ctx); err != nil {
		return err
	}
	x.answer = nil
	x.mu.Unlock()
	return nil
}

func (x *run) current() *answer {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.answer
}

// pass hands whole events to the sink. While a switch is under way it waits for
// its outcome: after a success these events come again from the new engine, and
// the error is errSwitched.
func (x *run) pass(ctx context.Context, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	x.progress.Store(x.relay.Clock.Now())
	if err := x.lockUnswitched(ctx); err != nil {
		return err
	}
	defer x.mu.Unlock()
	events, ok := x.split.Add(p)
	if !ok {
		return errors.New("an event is too large")
	}
	if events == nil {
		return nil
	}
	if err := x.sink.Events(events); err != nil {
		return err
	}
	x.passedBytes += len(events)
	x.split.Take(events)
	x.adopt()
	x.notePause()
	x.noteTempo()
	x.load.Made(x.split.Events() * x.job.Service.Engine.TokensPerEvent)
	return nil
}

// adopt counts the generation at the present start of its engine: one that gives events after
// the box learnt of that start was taken by it before the box knew. The lock must be held.
func (x *run) adopt() {
	if x.move != nil {
		return
	}
	if now := x.relay.Directory.Replaced(x.engine); now != nil {
		x.engine = now
		x.load.Move(now.ID, idOf(x.backup))
	}
}

// lockUnswitched takes the lock at a moment without a switch under way.
func (x *run) lockUnswitched(ctx context.Context) error {
	for {
		if x.switched(ctx) {
			return errSwitched
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		x.mu.Lock()
		if x.change == nil {
			return nil
		}
		x.mu.Unlock()
	}
}

// switched waits for a switch under way and reports whether the stream is now
// at another engine.
func (x *run) switched(ctx context.Context) bool {
	x.mu.Lock()
	c := x.change
	x.mu.Unlock()
	if c == nil {
		return false
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.change == c {
		x.change = nil
		if c.answer != nil {
			x.split.Drop()
			x.answer = c.answer
		}
	}
	return c.answer != nil
}

// endedWhole reports whether a clean end of the body ends the whole answer. An
// engine that stops a generation for a move breaks its stream off. Only without
// framing that looks like a clean end, and then the move's outcome decides.
func (x *run) endedWhole(ctx context.Context, a *answer) bool {
	x.mu.Lock()
	m := x.move
	stopped := m != nil && m.stopping && a.Unframed()
	partial := x.split.Partial()
	x.mu.Unlock()
	if partial || !stopped {
		return !partial
	}
	select {
	case <-m.done:
		return m.tooLate
	case <-ctx.Done():
		return false
	}
}

// finished learns from a stream that ended by itself.
func (x *run) finished() {
	x.mu.Lock()
	tokens := x.split.Events() * x.job.Service.Engine.TokensPerEvent
	x.mu.Unlock()
	x.relay.Lengths.Observe(lengthKey(x.job), tokens)
	x.relay.Lengths.Hints(lengthKey(x.job)).Observe(x.job.Request.HintTokens, tokens)
	x.logEnded()
}

// count counts the generation at an engine and its copy at another.
func (x *run) count(engine, backup *registry.Server) {
	x.mu.Lock()
	x.engine = engine
	x.backup = backup
	if x.load == nil {
		x.relay.Shares.Took(x.job.Account, x.job.Request.PromptTokens+x.expected)
		x.load = x.relay.Ledger.Place(engine.ID, idOf(backup), x.job.Request.PromptTokens, x.expected)
	} else {
		x.load.Move(engine.ID, idOf(backup))
	}
	x.mu.Unlock()
	x.relay.loadChanged()
}

func (x *run) uncount() {
	x.mu.Lock()
	load := x.load
	x.load = nil
	x.mu.Unlock()
	if load != nil {
		load.End()
		x.relay.loadChanged()
	}
}

// at returns the generation's engine, nil before it has one.
func (x *run) at() *registry.Server {
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

// silentFor returns how long no event came, 0 before the first.
func (x *run) silentFor(now time.Time) time.Duration {
	last := x.progress.Load()
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}
