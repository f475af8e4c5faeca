package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"

	"github.com/dalebend/dalebend/internal/apierror"
	"github.com/dalebend/dalebend/internal/delivery"
	"github.com/dalebend/dalebend/internal/dispatch"
	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/outcome"
	"github.com/dalebend/dalebend/internal/resumetoken"
	"github.com/dalebend/dalebend/internal/schedule"
)

const (
	// maxAttempts bounds the attempts that reached an engine, maxTries all of them: one
	// whose connection was refused cost next to nothing.
	maxAttempts = 3
	maxTries    = 8
	maxResumes  = 6
	firstResume = 50 * time.Millisecond
	finishCut   = "cancelled"
)

// generation is one request for a model on its way: it finds an engine, opens the
// stream, relays its tokens and resumes it when the link breaks.
type generation struct {
	server  *Server
	call    *call
	in      *input
	kind    kind
	began   time.Time
	span    trace.Span
	ctx     context.Context
	cancel  context.CancelCauseFunc
	unwatch func()

	dispatch  dispatch.Tracker
	relay     delivery.Sequencer
	placement *schedule.Placement
	backend   *fleet.BackendServer
	id        string
	stream    *engineclient.Stream
	stopAbort func() bool
	first     *engineclient.Chunk
	resumes   int
	ending    schedule.Outcome
	outcome   outcome.Outcome
	ended     bool
}

// start gives the generation an engine and waits for its first chunk.
func (g *generation) start() *apierror.Error {
	avoid := ""
	reached := 0
	for attempt := 1; ; attempt++ {
		if err := g.acquire(avoid); err != nil {
			return err
		}
		err := g.open(attempt)
		if err == nil {
			g.server.budget.Earn()
			return nil
		}
		avoid = g.backend.Name()
		g.release()
		if gone := g.givenUp(); gone != nil {
			return gone
		}
		if sent(err) {
			reached++
		}
		if attempt == maxTries || reached == maxAttempts || !g.dispatch.CanSend() || !g.server.budget.Spend() {
			return g.fail(err)
		}
		g.server.stats.retried.Inc(1)
		g.record(journal.Retried, avoid, err.Error())
		g.relay.Reset()
	}
}

// acquire waits for an engine.
func (g *generation) acquire(avoid string) *apierror.Error {
	ctx, span := g.server.Tracer.Start(g.ctx, "schedule.acquire")
	defer span.End()
	p, err := g.server.Scheduler.Acquire(ctx, &schedule.Job{
		Request:   g.call.id,
		Model:     g.in.Model,
		Kind:      string(g.kind),
		Account:   g.call.account,
		Prompt:    g.in.text(),
		MaxTokens: g.in.maxTokens(),
		Avoid:     avoid,
	})
	if err != nil {
		return g.refused(err)
	}
	g.placement = p
	g.backend = p.Server()
	return nil
}

// refused turns a refusal of the scheduler into the caller's answer.
func (g *generation) refused(err error) *apierror.Error {
	g.outcome = g.dispatch.Outcome()
	e := failure(g.outcome, err.Error())
	var refusal *schedule.Refusal
	if errors.As(err, &refusal) {
		e.RetryAfter = refusal.RetryAfter()
		if refusal.Reason() == schedule.QueueFull || refusal.Reason() == schedule.WaitTooLong {
			e.Status = fasthttp.StatusTooManyRequests
			e.Code = "overloaded"
		}
	}
	return e
}

// open starts the generation on its engine and reads the first chunk.
func (g *generation) open(attempt int) error {
	ctx, span := g.server.Tracer.Start(g.ctx, "engine.generate")
	defer span.End()
	g.id = fmt.Sprintf("%s-%d", g.call.id, attempt)
	g.ending = schedule.Failed
	g.dispatch.RecordSend()
	stream, err := g.server.Engines.Open(g.backend.Name(), g.backend.Address(), &engineclient.Request{
		Model:       g.in.Model,
		Prompt:      g.in.text(),
		MaxTokens:   g.in.maxTokens(),
		Priority:    g.call.account.Priority(),
		RequestID:   g.id,
		Traceparent: g.server.Tracer.Inject(ctx),
		Sampling:    g.in.Sampling,
	})
	if err != nil {
		g.sendFailed(err)
		return err
	}
	g.stream = stream
	g.placement.SetGeneration(g.id)
	g.abortOnCancel()
	first, err := g.nextResuming()
	if err != nil {
		g.dispatch.RecordLost()
		return err
	}
	g.first = &first
	g.server.stats.firstToken.UpdateSince(g.began)
	return nil
}

// sent reports whether a byte of a failed attempt can have reached its engine.
func sent(err error) bool {
	var call *engineclient.CallError
	return !errors.As(err, &call) || call.Sent()
}

// sendFailed notes what a failed open proves.
func (g *generation) sendFailed(err error) {
	var call *engineclient.CallError
	switch {
	case errors.As(err, &call) && !call.Sent():
		g.dispatch.RecordUnsent()
	case errors.As(err, &call) && call.Refused():
		g.dispatch.RecordRefusal()
		g.ending = schedule.Declined
	default:
		g.dispatch.RecordLost()
	}
}

// attach joins a generation that runs already, for a caller that comes back.
func (g *generation) attach(server *fleet.BackendServer, place resumetoken.Token) *apierror.Error {
	g.backend = server
	g.id = place.Generation()
	g.relay = *delivery.ResumeAfter(place.Generation(), place.Offset())
	g.dispatch.RecordSend()
	g.dispatch.RecordDelivered(place.Offset())
	g.server.stats.resumed.Inc(1)
	g.record(journal.Resumed, server.Name(), "caller came back")
	stream, err := g.server.Engines.Resume(server.Name(), server.Address(), g.id, place.Offset())
	if err != nil {
		g.dispatch.RecordLost()
		g.outcome = outcome.Cut
		return failure(outcome.Cut, "the stream cannot be resumed: "+err.Error())
	}
	g.stream = stream
	g.abortOnCancel()
	return nil
}

// abortOnCancel leaves the stream when the caller goes away or the box must stop.
// The generation is cancelled at its engine after the time in which the caller may
// come back for it, unless it did, here or at another box.
func (g *generation) abortOnCancel() {
	server, id, stream := g.backend, g.id, g.stream
	g.stopAbort = context.AfterFunc(g.ctx, func() {
		stream.Abort()
		if stream.Started() && errors.Is(context.Cause(g.ctx), errCallerGone) {
			<-g.server.Clock.After(g.server.ResumeGrace)
		}
		// When the engine cannot be reached, its grace period ends the generation.
		_ = g.server.Engines.Cancel(server.Name(), server.Address(), id, stream.Reader())
	})
}

// next returns the next chunk, the first one from where start left it.
func (g *generation) next() (engineclient.Chunk, error) {
	if g.first != nil {
		c := *g.first
		g.first = nil
		return c, nil
	}
	return g.nextResuming()
}

// nextResuming reads a chunk and resumes the generation on the same engine when
// the link breaks or a chunk is missing.
func (g *generation) nextResuming() (engineclient.Chunk, error) {
	for {
		c, err := g.stream.Next()
		switch {
		case err == nil && c.Finish != "" && c.Offset == g.relay.Delivered():
			return c, nil
		case err == nil:
			switch g.relay.Classify(c.Generation, c.Offset) {
			case delivery.Deliver:
				g.resumes = 0
				return c, nil
			case delivery.Duplicate:
				g.server.stats.repeats.Inc(1)
				continue
			case delivery.Gap, delivery.OtherGeneration:
				err = fmt.Errorf("backend server %s: token %d of %q does not follow", g.backend.Name(), c.Offset, c.Generation)
			}
		case errors.Is(err, io.EOF):
			err = fmt.Errorf("backend server %s: end mark without an end", g.backend.Name())
		}
		if err := g.resume(err); err != nil {
			return engineclient.Chunk{}, err
		}
	}
}

// resume opens the same generation again after what was delivered. The cause is
// returned when that fails.
func (g *generation) resume(cause error) error {
	g.stream.Close()
	g.stream = nil
	wait := firstResume
	for g.resumes < maxResumes && g.ctx.Err() == nil {
		g.resumes++
		select {
		case <-g.server.Clock.After(wait):
		case <-g.ctx.Done():
			return cause
		}
		wait *= 2
		stream, err := g.server.Engines.Resume(g.backend.Name(), g.backend.Address(), g.id, g.relay.Delivered())
		if err == nil {
			g.stopAbort()
			g.stream = stream
			g.abortOnCancel()
			g.server.stats.resumed.Inc(1)
			g.record(journal.Resumed, g.backend.Name(), cause.Error())
			return nil
		}
		cause = fmt.Errorf("%w; resume %d: %w", cause, g.resumes, err)
		var call *engineclient.CallError
		if errors.As(err, &call) && call.Status() == fasthttp.StatusNotFound {
			return cause
		}
	}
	return cause
}

// release gives back the engine and the stream of an attempt.
func (g *generation) release() {
	if g.stopAbort != nil && g.stopAbort() && g.stream != nil && !g.ended {
		// The attempt is left while it may still run: do not let it hold memory.
		_ = g.server.Engines.Cancel(g.backend.Name(), g.backend.Address(), g.id, "")
	}
	g.stopAbort = nil
	if g.stream != nil {
		g.stream.Close()
		g.stream = nil
	}
	if g.placement != nil {
		g.placement.End(g.ending)
		g.placement = nil
	}
}

// givenUp returns the answer for a request that this side has given up.
func (g *generation) givenUp() *apierror.Error {
	cause := context.Cause(g.ctx)
	if cause == nil {
		return nil
	}
	return g.fail(cause)
}

func (g *generation) fail(err error) *apierror.Error {
	g.outcome = g.dispatch.Outcome()
	return failure(g.outcome, err.Error())
}

// finish ends the request, however it went.
func (g *generation) finish() {
	g.unwatch()
	g.release()
	g.cancel(nil)
	g.server.stats.end(g.outcome)
	server := ""
	if g.backend != nil {
		server = g.backend.Name()
	}
	g.record(journal.Ended, server, fmt.Sprintf("%s after %d tokens", g.outcome, g.relay.Delivered()))
	g.span.End()
	g.server.done()
}

func (g *generation) record(kind journal.Kind, server, reason string) {
	g.server.journal(kind, g.call, server, reason)
}
