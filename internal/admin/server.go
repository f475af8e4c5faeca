// Package admin is a router's interface for operators: metrics, decisions, and
// profiles, on an address of its own that callers do not reach.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"strconv"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"github.com/dalebend/dalebend/internal/httpserve"
	"github.com/dalebend/dalebend/internal/journal"
)

// Paths of the interface.
const (
	PathMetrics = "/metrics"
	PathJournal = "/journal"
)

const defaultLimit = 100

// Server serves operators. Set the exported fields before Run.
type Server struct {
	// Metrics and Journal are what is shown.
	Metrics metrics.Registry
	Journal *journal.Journal
}

// Run serves on the listener until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	return httpserve.Serve(ctx, ln, &fasthttp.Server{Handler: s.handle})
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == PathMetrics:
		ctx.SetContentType("application/json")
		metrics.WriteJSONOnce(s.Metrics, ctx)
	case path == PathJournal:
		s.handleJournal(ctx)
	case len(path) > len("/debug/pprof") && path[:len("/debug/pprof")] == "/debug/pprof":
		pprofhandler.PprofHandler(ctx)
	default:
		ctx.Error("no such path; see /metrics, /journal, /debug/pprof/", fasthttp.StatusNotFound)
	}
}

func (s *Server) handleJournal(ctx *fasthttp.RequestCtx) {
	request := string(ctx.QueryArgs().Peek("request"))
	limit, err := strconv.Atoi(string(ctx.QueryArgs().Peek("limit")))
	if err != nil {
		limit = defaultLimit
	}
	events := s.Journal.Select(limit, func(e *journal.Event) bool {
		return request == "" || e.Request == request
	})
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(events)
}
