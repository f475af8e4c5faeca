package gateway

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/apierror"
	"github.com/dalebend/dalebend/internal/outcome"
	"github.com/dalebend/dalebend/internal/resumetoken"
)

const (
	lastEventID = "Last-Event-ID"
	// lengthUnknown makes the HTTP library send a body in chunks.
	lengthUnknown = -1
)

// handleGeneration serves completions and chat, and resumes of either.
func (s *Server) handleGeneration(ctx *fasthttp.RequestCtx, c *call, k kind) *apierror.Error {
	if token := string(ctx.Request.Header.Peek(lastEventID)); token != "" {
		return s.handleResume(ctx, c, k, token)
	}
	if err := needMethod(ctx, fasthttp.MethodPost); err != nil {
		return err
	}
	in, err := readInput(ctx.PostBody(), k)
	if err != nil {
		return err
	}
	if _, ok := c.snap.ModelServers(in.Model); !ok {
		return apierror.Bad(fasthttp.StatusNotFound, "unknown_model", "model",
			"model %q is not served; see /v1/models", in.Model)
	}
	g := s.newGeneration(ctx, c, in, k)
	if err := g.start(); err != nil {
		g.finish()
		err.Write(ctx)
		return nil
	}
	g.answer(ctx)
	return nil
}

// handleResume goes on with a stream after the event that the caller has.
func (s *Server) handleResume(ctx *fasthttp.RequestCtx, c *call, k kind, token string) *apierror.Error {
	if !ctx.IsPost() && !ctx.IsGet() {
		return needMethod(ctx, fasthttp.MethodPost)
	}
	in := &input{Stream: true}
	if ctx.IsPost() && len(ctx.PostBody()) > 0 {
		var bad *apierror.Error
		if in, bad = readInput(ctx.PostBody(), k); bad != nil {
			return bad
		}
	}
	place, err := resumetoken.Parse(c.snap.ResumeKey(), c.account.Name(), token)
	if err != nil {
		return apierror.Bad(fasthttp.StatusBadRequest, "bad_resume", lastEventID,
			"%s is not an event id of a stream of this client account", lastEventID)
	}
	server, ok := c.snap.Server(place.Server())
	if !ok {
		return apierror.Bad(fasthttp.StatusGone, "generation_gone", lastEventID,
			"the backend server of this stream is no longer in the fleet")
	}
	in.Stream = true
	g := s.newGeneration(ctx, c, in, k)
	if err := g.attach(server, place); err != nil {
		g.finish()
		err.Write(ctx)
		return nil
	}
	g.answer(ctx)
	return nil
}

// newGeneration begins to count a request in flight and to watch its caller.
func (s *Server) newGeneration(ctx *fasthttp.RequestCtx, c *call, in *input, k kind) *generation {
	s.begin()
	g := &generation{server: s, call: c, in: in, kind: k, began: s.Clock.Now()}
	g.dispatch.MayRepeat = true
	traced := s.Tracer.Extract(s.cut, string(ctx.Request.Header.Peek("traceparent")))
	traced, g.span = s.Tracer.Start(traced, "gateway.generation")
	g.ctx, g.cancel = context.WithCancelCause(traced)
	g.unwatch = s.watcher.Watch(ctx.Conn(), func() {
		s.stats.callerGone.Inc(1)
		g.cancel(errCallerGone)
	})
	return g
}

// answer streams the generation, or collects it and answers whole.
func (g *generation) answer(ctx *fasthttp.RequestCtx) {
	if g.in.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.Response.Header.Set("Cache-Control", "no-store")
		ctx.SetBodyStream(newEventStream(g), lengthUnknown)
		return
	}
	defer g.finish()
	sink := &wholeSink{generation: g}
	for g.step(sink) {
		continue
	}
	sink.write(ctx)
}

// errors that end a generation from this side.
var (
	errCallerGone = errors.New("caller went away")
	errStopLimit  = errors.New("the box stops and the operator's limit for streams is over")
)

// failure is the error that a caller gets for a generation that broke.
func failure(o outcome.Outcome, message string) *apierror.Error {
	e := &apierror.Error{Message: message, Outcome: o}
	switch o {
	case outcome.NotRun:
		e.Status = fasthttp.StatusServiceUnavailable
		e.Code = "not_run"
	case outcome.Cut:
		e.Status = fasthttp.StatusBadGateway
		e.Code = "cut"
	default:
		e.Status = fasthttp.StatusBadGateway
		e.Code = "unknown"
	}
	return e
}
