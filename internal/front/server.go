// Package front serves callers: it reads a request, finds its route and client account in the
// configuration in force, and has a backend server answer it.
//
// It uses net/http rather than fasthttp, which can neither detect that a caller has left while it
// waits for an answer nor abort an answer that has begun.
//
// Invariants: every request that was read is answered, or its connection is closed because a part
// of the answer was passed on or the caller left; an unknown route or key is refused permanently
// only by a configuration that is known to be recent.
package front

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/atomictime"
	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/callerconn"
	"github.com/dalebend/dalebend/internal/connlimit"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/heldup"
	"github.com/dalebend/dalebend/internal/quarantine"
	"github.com/dalebend/dalebend/internal/request"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/staleness"
	"github.com/dalebend/dalebend/internal/streaming"
	"github.com/dalebend/dalebend/internal/telemetry"
	"github.com/dalebend/dalebend/internal/unary"
)

const (
	// headerTimeout bounds the time for a request's head. It lies above the limits in
	// configurations, which are not applied because connections are accepted before a configuration
	// is known.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the idle time of a connection. It lies above the limits in configurations,
	// which are not applied either: closing a connection that a caller still relies on costs it a
	// request.
	idleTimeout = 10 * time.Minute
	// maxHeaderBytes bounds a request's head. It lies above the limits in configurations, which are
	// not applied.
	maxHeaderBytes = 64 << 10
	// defaultMaxBodyBytes bounds a request's body if the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// defaultTimeout applies if neither the caller nor its route sets a timeout.
	defaultTimeout = 30 * time.Second
	// balancerDelay is the time from the order to stop until the balancer sends new callers
	// elsewhere: it polls every second and needs two results.
	balancerDelay = 2500 * time.Millisecond
	// answerTimeout bounds the wait for the answers of requests that are ended with the server, and
	// abortTimeout the wait for those whose connections were closed then. Each needs some
	// milliseconds; the process has a few hundred left.
	answerTimeout = 100 * time.Millisecond
	abortTimeout  = 50 * time.Millisecond
	// unknownRetryAfter is the retry delay while this box does not know whether a route and key
	// exist: about two heartbeat intervals.
	unknownRetryAfter = 400 * time.Millisecond
)

// CallerCodec reads the headers of callers' requests.
type CallerCodec interface {
	// Parse reads the headers into the request.
	Parse(r *request.Request) error
	// Identify sets the request id in the headers of an answer of this box itself.
	Identify(h http.Header, id string)
}

// UnaryHandler answers requests with one complete answer.
type UnaryHandler interface {
	Do(ctx context.Context, j *unary.Job) (*unary.Answer, error)
}

// StreamHandler answers requests with event streams.
type StreamHandler interface {
	Serve(ctx context.Context, j *streaming.Job, sink streaming.Sink) error
}

// Server serves callers. Set the exported fields before Run.
type Server struct {
	Clock   clockwork.Clock
	Logger  *slog.Logger
	Codec   CallerCodec
	Unary   UnaryHandler
	Streams StreamHandler
	// Quarantine knows the requests that no server may get. It may be nil.
	Quarantine *quarantine.Tracker
	// Table returns the configuration in force, nil before the first.
	Table func() *routetable.Table
	// HeldUp delays requests after a pause of the process, until what is known is current again; it may be nil.
	HeldUp *heldup.Detector
	// ConfigRecent reports whether the configuration in force was recently known to be the newest.
	ConfigRecent func() bool
	// Staleness is the age of the box's state for the decision log. It and Metrics may be nil.
	Staleness staleness.Source
	Metrics   *telemetry.Metrics
	// Buffers bounds the memory buffered for callers; nil is unbounded.
	Buffers *bufferlimit.Accounting
	// ConnLimit bounds the callers' connections and the heads of their requests; nil is unbounded.
	ConnLimit *connlimit.Limiter

	// stopAt is when the process ends; zero if the server is not draining.
	stopAt atomictime.Time
	// stoppedAt is when draining began.
	stoppedAt atomictime.Time
	// requests counts the requests in progress.
	requests inFlight
	// connections counts the callers' connections.
	connections atomic.Int64
	// closing is set before all connections are closed.
	closing atomic.Bool
}

// Run serves the listener until the context ends, then ends the requests in progress and closes every
// connection. A request of whose answer nothing was passed on is answered first. To abort no request,
// call Drain first and wait until FinishIfIdle succeeds.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	if s.Buffers == nil {
		s.Buffers = &bufferlimit.Accounting{Clock: s.Clock}
	}
	go s.Buffers.Run(ctx)
	callers := &callerconn.Listener{Listener: s.ConnLimit.Listen(ln), Buffers: s.Buffers}
	ending, endRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer endRequests()
	server := &http.Server{
		ConnContext: withConn,
		// Otherwise net/http answers "OPTIONS *" with 200 by itself.
		DisableGeneralOptionsHandler: true,
		Handler:                      http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(ending, w, r) }),
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ConnState:                    s.connChanged,
		ErrorLog:                     slog.NewLogLogger(s.Logger.Handler(), slog.LevelDebug),
	}
	ended := context.AfterFunc(ctx, func() {
		s.closing.Store(true)
		s.requests.stop()
		endRequests()
		s.awaitIdle(answerTimeout)
		callers.CloseImmediately()
		// The listener is already closed if Serve has returned by itself.
		_ = server.Close()
	})
	defer ended()
	if err := server.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	// The outcome of the remaining requests is logged as they end.
	if !s.awaitIdle(abortTimeout) {
		s.Logger.Warn("requests still running after their connections were closed", event.KeyOpen, s.OpenRequests())
	}
	return nil
}

// awaitIdle waits until no request is in progress, and reports whether that is so in time.
func (s *Server) awaitIdle(limit time.Duration) bool {
	select {
	case <-s.requests.idle():
		return true
	case <-s.Clock.After(limit):
		return false
	}
}

// Drain makes callers move to other connections: every answer closes its connection, and requests
// that are not expected to end by the given time are refused. Idle connections stay open, since a
// request may be on its way on them.
func (s *Server) Drain(by time.Time) {
	s.stoppedAt.Store(s.Clock.Now())
	s.stopAt.Store(by)
}

// FinishIfIdle stops further requests from beginning if none is in progress, and reports whether it
// did. Otherwise a request read before its connection is closed would reach a server and be
// aborted. Answers that callers have not taken yet count as in progress.
func (s *Server) FinishIfIdle() bool { return s.requests.finish(s.delivered) }

// NextIdle returns a channel that is closed when the last request in progress ends, the next time
// that happens. A caller that gets it before FinishIfIdle fails misses no such moment.
func (s *Server) NextIdle() <-chan struct{} { return s.requests.nextIdle() }

// delivered reports whether no bytes are buffered for callers.
func (s *Server) delivered() bool {
	buffered, _ := s.Buffers.Buffered()
	return buffered == 0
}

// balancerNoticed reports whether the server has been draining long enough for the balancer and the
// callers to notice.
func (s *Server) balancerNoticed() bool {
	return s.Clock.Since(s.stoppedAt.Load()) > balancerDelay
}

// timeLeft returns the time until the process ends; ok is false if the server is not draining.
func (s *Server) timeLeft() (left time.Duration, ok bool) {
	at := s.stopAt.Load()
	if at.IsZero() {
		return 0, false
	}
	return at.Sub(s.Clock.Now()), true
}

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int { return s.requests.count() }

// OpenConnections returns the number of open caller connections.
func (s *Server) OpenConnections() int { return int(s.connections.Load()) }

// connChanged counts connections. A request ends here and not when its handler returns, because its
// connection is idle or closed only after the whole answer was written.
func (s *Server) connChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
	case http.StateIdle:
		s.requests.end(conn)
		countedConn(conn).End()
	case http.StateClosed, http.StateHijacked:
		s.requests.end(conn)
		s.connections.Add(-1)
	default:
	}
}

// serve answers one request. It ends the work on it when ending does.
func (s *Server) serve(ending context.Context, w http.ResponseWriter, r *http.Request) {
	conn := connOf(r.Context())
	begun := s.requests.begin(conn)
	fits := countedConn(conn).Begin(r.Header)
	uri := uriOf(r)
	path, _, _ := strings.Cut(uri, "?")
	x := &exchange{
		server: s, w: w, http: r, conn: conn,
		req: &request.Request{
			Method: r.Method, Host: hostOf(r.Host), URI: uri, Path: path,
			Header: r.Header, HasBody: r.ContentLength != 0, Arrived: s.Clock.Now(),
		},
	}
	switch {
	case !begun:
		x.refuse(stoppingRefusal())
	case !fits:
		x.w.Header().Set("Connection", "close")
		x.refuse(refusal{
			status: http.StatusServiceUnavailable, class: headsTooLarge,
			reason: "the heads of requests take too much memory", retryAfter: bodyRetryAfter,
		})
	default:
		x.run(ending)
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func connOf(ctx context.Context) *callerconn.Conn {
	return ctx.Value(connKey{}).(*callerconn.Conn)
}

// countedConn returns the connection that ConnLimit counts, nil if it counts none.
func countedConn(nc net.Conn) *connlimit.Conn {
	caller, ok := nc.(*callerconn.Conn)
	if !ok {
		return nil
	}
	c, _ := caller.Conn.(*connlimit.Conn)
	return c
}

// hostOf returns a host without its port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// uriOf returns the path and query exactly as sent. A parsed URL would escape some characters
// differently.
func uriOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	// The target is in absolute form, with a host.
	return r.URL.RequestURI()
}

// draw returns a random number in [0, 1).
func draw() float64 { return rand.Float64() }
