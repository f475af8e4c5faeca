// Package endpoint serves tunnels for other boxes; see package tunnel.
package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/headlimit"
	"github.com/dalebend/dalebend/internal/panics"
	"github.com/dalebend/dalebend/internal/telemetry"
	"github.com/dalebend/dalebend/internal/tunnel"
)

const (
	// requestTimeout bounds how long a peer may take to send its request. Peers give up sooner.
	requestTimeout = time.Second
	// dialTimeout bounds connecting to the server.
	dialTimeout = 200 * time.Millisecond
	// requestBytes is the size of the buffer for the request of a tunnel.
	requestBytes = 4 << 10
)

// ErrUnknown is an error of Dial: there is no such server.
var ErrUnknown = errors.New("no such backend server")

// errTooMany means that MaxTunnels are open.
var errTooMany = errors.New("too many tunnels")

// Server serves tunnels. Set the exported fields before Serve.
type Server struct {
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// Dial connects directly to a server by its id. The error wraps exchange.ErrNoPath if this box
	// appears to have no path to the server.
	Dial func(ctx context.Context, server string) (net.Conn, error)
	// MaxTunnels bounds the open tunnels; 0 is no bound.
	MaxTunnels int

	mu   sync.Mutex
	open int
	done sync.WaitGroup
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Serve accepts tunnels until the listener is closed. The end of the context cuts all tunnels.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer s.done.Wait()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept tunnels: %w", err)
		}
		s.done.Go(func() {
			if p := panics.Catch(func() { s.serve(ctx, conn) }); p != nil {
				p.Report(s.Logger, s.Metrics, panics.Tunnel, slog.String(event.KeyPeer, conn.RemoteAddr().String()))
			}
		})
	}
}

// serve serves one tunnel.
func (s *Server) serve(ctx context.Context, near net.Conn) {
	stop := context.AfterFunc(ctx, func() { abort(near) })
	defer stop()
	defer discard(near)
	if err := setUserTimeout(near, nearTimeout); err != nil {
		s.Logger.Warn("cannot set the TCP user timeout of a peer", "peer", near.RemoteAddr(), "err", err)
	}
	head := headlimit.New(near, tunnel.MaxHeadBytes)
	br := bufio.NewReaderSize(head, requestBytes)
	far, err := s.connect(ctx, near, br)
	if err != nil {
		s.refuse(near, err)
		return
	}
	head.Lift()
	defer s.release()
	stopFar := context.AfterFunc(ctx, func() { abort(far) })
	defer stopFar()
	defer discard(far)
	if _, err := io.WriteString(near, accepted); err != nil {
		return
	}
	splice(s.Clock, near, br, far)
}

const accepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + tunnel.Protocol + "\r\n\r\n"

// discard closes a connection that may be closed already.
func discard(conn net.Conn) { _ = conn.Close() }

// connect reads a request and connects to the server that it names. The tunnel is counted unless it
// fails.
func (s *Server) connect(ctx context.Context, near net.Conn, br *bufio.Reader) (net.Conn, error) {
	timer := s.Clock.AfterFunc(requestTimeout, func() { discard(near) })
	r, err := http.ReadRequest(br)
	timer.Stop()
	if err != nil {
		return nil, &badRequestError{cause: err}
	}
	if c, ok := near.(interface{ Begin(h http.Header) bool }); ok {
		_ = c.Begin(r.Header) // its head is not kept
	}
	server, ok := tunnel.ServerOf(r.URL.EscapedPath())
	if !ok || r.Header.Get("Upgrade") != tunnel.Protocol {
		return nil, &badRequestError{cause: errors.New("it names no server, or another protocol")}
	}
	if !s.reserve() {
		return nil, errTooMany
	}
	bounded, cancel := exchange.WithDialTimeout(ctx, s.Clock, dialTimeout)
	defer cancel()
	far, err := s.Dial(bounded, server)
	if err != nil {
		s.release()
		return nil, err
	}
	s.Metrics.OrDiscard().TunnelRequests.Inc(resultOpened)
	s.Logger.LogAttrs(ctx, event.TunnelOpened.Level(), string(event.TunnelOpened),
		slog.String(event.KeyPeer, r.Header.Get(tunnel.BoxHeader)), slog.String(event.KeyServer, server))
	return far, nil
}

// Results of requests in the metrics.
const (
	resultOpened      = "opened"
	resultUnreachable = "unreachable"
	resultNoPath      = "no-path"
	resultFull        = "full"
	resultUnknown     = "unknown-server"
	resultBad         = "bad-request"
)

// badRequestError means that a peer's request can't be understood.
type badRequestError struct{ cause error }

func (e *badRequestError) Error() string { return "read the request of a tunnel: " + e.cause.Error() }

func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxTunnels > 0 && s.open >= s.MaxTunnels {
		return false
	}
	s.open++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// refuse answers a request that gets no tunnel.
func (s *Server) refuse(near net.Conn, cause error) {
	status, result := http.StatusBadGateway, resultUnreachable
	var bad *badRequestError
	switch {
	case errors.As(cause, &bad):
		status, result = http.StatusBadRequest, resultBad
	case errors.Is(cause, ErrUnknown):
		status, result = http.StatusNotFound, resultUnknown
	case errors.Is(cause, exchange.ErrNoPath):
		status, result = http.StatusServiceUnavailable, resultNoPath
	case errors.Is(cause, errTooMany):
		status, result = http.StatusServiceUnavailable, resultFull
	}
	s.Metrics.OrDiscard().TunnelRequests.Inc(result)
	text := cause.Error()
	_, err := fmt.Fprintf(near, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(text), text)
	if err != nil {
		s.Logger.Debug("peer did not wait for the answer", "peer", near.RemoteAddr(), "err", err)
	}
}
