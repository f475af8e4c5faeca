// Package gateway is the interface for callers: completions and chat, streamed
// and whole, the list of models, plain services, and health.
//
// A request is authenticated and checked before anything else; bad input is never
// dispatched. Every answer carries an outcome. The server keeps the snapshot that
// a request began with for as long as the request lasts.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/claim"
	"github.com/dalebend/dalebend/internal/deadlineconn"
	"github.com/dalebend/dalebend/internal/disconnect"
	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/plaincall"
	"github.com/dalebend/dalebend/internal/retry"
	"github.com/dalebend/dalebend/internal/schedule"
	"github.com/dalebend/dalebend/internal/tracing"
)

const (
	// MaxBody is the largest request body. Larger ones are read up to readBody, so that
	// the refusal reaches the caller: a connection that is closed on unread bytes is
	// reset, and the answer lost with it.
	MaxBody  = 1 << 20
	readBody = 4 << 20
	// maxHeader bounds the request line and headers.
	maxHeader   = 8 << 10
	readTimeout = 10 * time.Second
	idleTimeout = 75 * time.Second
	// writeIdle is how long a caller may take nothing before its stream is cut.
	writeIdle     = 20 * time.Second
	watchInterval = 100 * time.Millisecond
	retryPercent  = 10
)

// snapshots gives the fleet in force.
type snapshots interface {
	Current() *fleet.Snapshot
}

// scheduler gives generations an engine.
type scheduler interface {
	Acquire(ctx context.Context, job *schedule.Job) (*schedule.Placement, error)
}

// claims lets a keyed call run once across boxes.
type claims interface {
	Claim(ctx context.Context, account, key string) claim.Verdict
	Release(ctx context.Context, account, key string)
}

// Server serves callers. Set the exported fields before Run.
type Server struct {
	// Box names this box in answers and spans.
	Box string
	// Fleet gives the snapshot in force.
	Fleet snapshots
	// Scheduler gives generations an engine.
	Scheduler scheduler
	// Engines calls model engines.
	Engines *engineclient.Client
	// Plain calls plain services.
	Plain *plaincall.Client
	// Claims lets keyed calls run once across boxes; nil refuses them.
	Claims claims
	// Clock gives the time.
	Clock clockwork.Clock
	// Journal hears decisions.
	Journal *journal.Journal
	// Metrics counts requests.
	Metrics metrics.Registry
	// Tracer makes spans.
	Tracer *tracing.Tracer
	// Logger hears changes of state.
	Logger *slog.Logger
	// MaxConns bounds the connections of callers; 0 takes a default.
	MaxConns int
	// ResumeGrace is how long a caller that went away may come back for its stream
	// before the generation is cancelled.
	ResumeGrace time.Duration
	// StopLag is how long the box still accepts after it said that it leaves.
	StopLag time.Duration
	// StopLimit ends streams that still run so long after that; 0 waits for all.
	StopLimit time.Duration

	watcher  *disconnect.Watcher
	budget   *retry.Budget
	leaving  atomic.Bool
	isolated atomic.Bool
	inFlight sync.WaitGroup
	running  atomic.Int64
	cut      context.Context
	cutAll   context.CancelCauseFunc
	stats    *counters
	conns    connStates
}

// Prepare makes the server ready to handle requests; Run calls it.
func (s *Server) prepare() {
	s.watcher = &disconnect.Watcher{Clock: s.Clock, Interval: watchInterval}
	s.budget = &retry.Budget{Percent: retryPercent}
	s.cut, s.cutAll = context.WithCancelCause(context.Background())
	s.stats = newCounters(s.Metrics)
	if s.MaxConns == 0 {
		s.MaxConns = 1 << 16
	}
}

// Run serves on the listener until ctx ends, then lets what runs come to its end.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	s.prepare()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.watcher.Run(background)
	http := &fasthttp.Server{
		Handler:               s.handle,
		Name:                  "dalebend",
		MaxRequestBodySize:    readBody,
		ReadBufferSize:        maxHeader,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           s.MaxConns,
		ErrorHandler:          s.handleError,
		ConnState:             s.conns.note,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                quiet{},
	}
	done := make(chan error, 1)
	go func() {
		done <- http.Serve(&deadlineconn.Listener{Listener: ln, Clock: s.Clock, WriteIdle: writeIdle})
	}()
	select {
	case err := <-done:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	return s.drain(http)
}

// drain is a planned stop: readiness off, still accept for the balancer's lag,
// then let streams run to their end.
func (s *Server) drain(http *fasthttp.Server) error {
	s.leaving.Store(true)
	s.Logger.Info("stopping: readiness is off", "in_flight", s.running.Load())
	<-s.Clock.After(s.StopLag)
	finished := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(finished)
	}()
	if s.StopLimit > 0 {
		select {
		case <-finished:
		case <-s.Clock.After(s.StopLimit):
			s.Logger.Warn("stopping: the operator's limit ends streams", "in_flight", s.running.Load())
			s.cutAll(errStopLimit)
		}
	}
	<-finished
	// Answers may still be on their way to slow callers; connections without a
	// request are not waited for.
	written, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.conns.whenNoneActive(cancel)
	if err := http.ShutdownWithContext(written); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("close caller connections: %w", err)
	}
	s.Logger.Info("stopped", "in_flight", s.running.Load())
	return nil
}

// SetIsolated notes whether the box is cut off from the store and from peers that
// see it; an isolated box is not ready.
func (s *Server) SetIsolated(cut bool) {
	if s.isolated.Swap(cut) != cut {
		s.Logger.Warn("reach of the configuration changed", "isolated", cut)
	}
}

// InFlight returns the number of requests that run.
func (s *Server) InFlight() int64 { return s.running.Load() }

// begin and done count a request in flight.
func (s *Server) begin() {
	s.inFlight.Add(1)
	s.running.Add(1)
}

func (s *Server) done() {
	s.running.Add(-1)
	s.inFlight.Done()
}

// quiet drops the log lines of the HTTP library: counters tell of bad connections.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}
