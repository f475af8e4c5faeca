package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/apierror"
	"github.com/dalebend/dalebend/internal/claim"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/outcome"
	"github.com/dalebend/dalebend/internal/plaincall"
)

// idempotencyKey is the caller's own mark of a call that must run once.
const idempotencyKey = "Idempotency-Key"

// handleService passes a call on to a plain service.
func (s *Server) handleService(ctx *fasthttp.RequestCtx, c *call, rest string) *apierror.Error {
	name, path, _ := strings.Cut(rest, "/")
	service, ok := c.snap.Service(name)
	if !ok || !service.Plain() {
		return apierror.Bad(fasthttp.StatusNotFound, "unknown_service", "", "service %q is not a plain service of this fleet", name)
	}
	s.begin()
	defer s.done()
	in := plainCall(ctx, c, service, "/"+path)
	traced := s.Tracer.Extract(s.cut, string(ctx.Request.Header.Peek("traceparent")))
	traced, span := s.Tracer.Start(traced, "gateway.service")
	defer span.End()
	in.Traceparent = s.Tracer.Inject(traced)
	watched, gone := context.WithCancelCause(traced)
	defer gone(nil)
	stop := s.watcher.Watch(ctx.Conn(), func() {
		s.stats.callerGone.Inc(1)
		gone(errCallerGone)
	})
	defer stop()
	if keyed := in.IdempotencyKey != "" && !in.MayRepeat; keyed {
		if err := s.claimKey(watched, c, in); err != nil {
			s.stats.end(err.Outcome)
			err.Write(ctx)
			return nil
		}
	}
	a := s.Plain.Do(watched, in)
	if a.Outcome == outcome.NotRun && in.IdempotencyKey != "" && !in.MayRepeat {
		s.Claims.Release(watched, c.account.Name(), in.IdempotencyKey)
	}
	s.stats.end(a.Outcome)
	writeAnswer(ctx, a)
	return nil
}

// claimKey makes sure that a keyed call runs once across boxes, before any byte of
// it leaves.
func (s *Server) claimKey(ctx context.Context, c *call, in *plaincall.Call) *apierror.Error {
	verdict := claim.Unavailable
	if s.Claims != nil {
		_, span := s.Tracer.Start(ctx, "controller.claim")
		verdict = s.Claims.Claim(ctx, c.account.Name(), in.IdempotencyKey)
		span.End()
	}
	switch verdict {
	case claim.Granted:
		s.journal(journal.Claimed, c, "", "key granted")
		return nil
	case claim.Taken:
		s.journal(journal.Claimed, c, "", "key was taken before")
		return &apierror.Error{
			Status: fasthttp.StatusConflict, Code: "key_taken", Param: idempotencyKey, Outcome: outcome.Unknown,
			Message: "a call with this key was made before and ran, or may have; this one was not passed on",
		}
	case claim.Unavailable:
	}
	s.journal(journal.Refused, c, "", "the key cannot be claimed now")
	e := failure(outcome.NotRun, "the key cannot be claimed now; nothing was run")
	e.RetryAfter = time.Second
	return e
}

// plainCall copies the request: the HTTP library reuses its buffers.
func plainCall(ctx *fasthttp.RequestCtx, c *call, service *fleet.Service, path string) *plaincall.Call {
	method := string(ctx.Method())
	uri := path
	if query := ctx.URI().QueryString(); len(query) > 0 {
		uri += "?" + string(query)
	}
	return &plaincall.Call{
		ID:             c.id,
		Account:        c.account.Name(),
		Service:        service,
		Method:         method,
		URI:            uri,
		Body:           append([]byte(nil), ctx.PostBody()...),
		ContentType:    string(ctx.Request.Header.ContentType()),
		IdempotencyKey: string(ctx.Request.Header.Peek(idempotencyKey)),
		MayRepeat:      service.MayRepeat(method, path),
	}
}

// writeAnswer passes a whole answer on, or says what became of the call.
func writeAnswer(ctx *fasthttp.RequestCtx, a plaincall.Result) {
	if a.Outcome != outcome.Done {
		failure(a.Outcome, a.Err.Error()).Write(ctx)
		return
	}
	ctx.SetStatusCode(a.Status)
	ctx.Response.Header.Set(outcome.Header, a.Outcome.String())
	ctx.SetContentType(a.ContentType)
	ctx.SetBody(a.Body)
}
