package gateway

import (
	"errors"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/deadlineconn"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/apierror"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/invariant"
	"github.com/dalebend/dalebend/internal/journal"
)

const (
	// requestHeader carries the id of the request to the caller.
	requestHeader  = "Dalebend-Request"
	servicesPrefix = "/services/"
	bearer         = "Bearer "
)

// call is one authenticated request.
type call struct {
	id      string
	snap    *fleet.Snapshot
	account *fleet.ClientAccount
}

// handle delegates a request to the method of its kind.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return
	case "/readyz":
		s.handleReady(ctx)
		return
	}
	c := &call{id: newRequestID()}
	ctx.Response.Header.Set(requestHeader, c.id)
	if err := s.route(ctx, path, c); err != nil {
		s.stats.bad.Inc(1)
		err.Write(ctx)
	}
}

// newRequestID returns an id that holds the time of the request.
func newRequestID() string {
	id, err := uuid.NewV7()
	invariant.Check(err == nil, "random-source", "no random numbers: %v", err)
	return id.String()
}

// route authenticates and picks the handler; what it returns was never dispatched.
func (s *Server) route(ctx *fasthttp.RequestCtx, path string, c *call) *apierror.Error {
	if err := s.authenticate(ctx, c); err != nil {
		return err
	}
	if len(ctx.PostBody()) > MaxBody {
		return bodyTooLarge()
	}
	switch {
	case path == "/v1/completions":
		return s.handleGeneration(ctx, c, kindCompletion)
	case path == "/v1/chat/completions":
		return s.handleGeneration(ctx, c, kindChat)
	case path == "/v1/models":
		return s.handleModels(ctx, c)
	case strings.HasPrefix(path, servicesPrefix):
		return s.handleService(ctx, c, strings.TrimPrefix(path, servicesPrefix))
	default:
		return apierror.Bad(fasthttp.StatusNotFound, "unknown_path", "",
			"no such path %q; see /v1/completions, /v1/chat/completions, /v1/models, /services/NAME/", path)
	}
}

// authenticate finds the client account of the bearer key.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx, c *call) *apierror.Error {
	c.snap = s.Fleet.Current()
	if c.snap == nil {
		e := apierror.Bad(fasthttp.StatusServiceUnavailable, "no_configuration", "",
			"this box has no configuration yet")
		e.RetryAfter = time.Second
		return e
	}
	header := string(ctx.Request.Header.Peek("Authorization"))
	key, ok := strings.CutPrefix(header, bearer)
	if !ok || key == "" {
		return apierror.Bad(fasthttp.StatusUnauthorized, "no_key", "",
			"send the key of a client account as 'Authorization: Bearer KEY'")
	}
	account, ok := c.snap.Account([]byte(key))
	if !ok {
		return apierror.Bad(fasthttp.StatusUnauthorized, "wrong_key", "",
			"the key is not one of a client account")
	}
	c.account = account
	return nil
}

// journal records a decision on a request.
func (s *Server) journal(kind journal.Kind, c *call, server, reason string) {
	s.Journal.Record(journal.Event{
		At: s.Clock.Now(), Kind: kind, Request: c.id, Account: c.account.Name(), Server: server, Reason: reason,
	})
}

// handleError answers requests that the HTTP library could not read.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	s.stats.bad.Inc(1)
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		bodyTooLarge().Write(ctx)
	case errors.As(err, &small):
		apierror.Bad(fasthttp.StatusRequestHeaderFieldsTooLarge, "headers_too_large", "",
			"request line and headers are over %d bytes", maxHeader).Write(ctx)
	default:
		apierror.Bad(fasthttp.StatusBadRequest, "unreadable_request", "",
			"the request could not be read: %v", err).Write(ctx)
	}
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*deadlineconn.Conn); ok {
		conn.Linger()
	}
}

func bodyTooLarge() *apierror.Error {
	return apierror.Bad(fasthttp.StatusRequestEntityTooLarge, "body_too_large", "", "the body is over %d bytes", MaxBody)
}

// needMethod checks the method of a request.
func needMethod(ctx *fasthttp.RequestCtx, method string) *apierror.Error {
	if string(ctx.Method()) == method {
		return nil
	}
	ctx.Response.Header.Set("Allow", method)
	return apierror.Bad(fasthttp.StatusMethodNotAllowed, "wrong_method", "",
		"use %s, not %s", method, ctx.Method())
}
