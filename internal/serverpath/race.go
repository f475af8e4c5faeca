package serverpath

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"syscall"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/panics"
	"github.com/dalebend/dalebend/internal/tunnel"
)

// errOvertaken is why a dial ends when another one has connected.
var errOvertaken = errors.New("a peer connected first")

// race opens one connection by attempts on several paths, of which the first to connect wins.
type race struct {
	selector *Selector
	server   string
	direct   exchange.DialFunc
	// eager is set if the second attempt starts at once.
	eager bool
	// peersFirst is set if the direct path is expected to be down.
	peersFirst bool

	results chan result
	// pending is the number of attempts under way.
	pending int
	// directTried is set when the direct attempt has started, directErr is its failure.
	directTried bool
	directErr   error
	// peers are those tried, lastPeer is the preferred one.
	peers    []string
	lastPeer string
	// confirmed is set when a peer found that the server accepts no connection.
	confirmed bool
	errs      []error
	// won is the connection of the winner. waiting is that of a peer which gives the direct attempt more
	// time.
	won, waiting net.Conn
}

// result is the outcome of one attempt; peer is empty for the direct one.
type result struct {
	peer string
	conn net.Conn
	err  error
}

func (s *Selector) newRace(server string, direct exchange.DialFunc, eager bool) *race {
	r := &race{
		selector: s, server: server, direct: direct, eager: eager, peersFirst: s.Reach.Isolated(),
		results: make(chan result, 1+maxPeers),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.servers[server]; p != nil {
		r.peersFirst = r.peersFirst || p.detour
		r.lastPeer = p.peer
	}
	return r
}

// run returns the first connection that is established. When it returns, directErr is set if the
// direct path was tried and did not connect.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	attempts, cancel := context.WithCancelCause(ctx)
	timer := r.selector.Clock.NewTimer(attemptDelay)
	defer timer.Stop()
	r.launch(attempts)
	if r.eager {
		r.launch(attempts)
	}
	for r.pending > 0 && r.won == nil {
		select {
		case got := <-r.results:
			r.pending--
			if !r.record(got) {
				r.launch(attempts)
				timer.Reset(attemptDelay)
			}
		case <-timer.Chan():
			if r.won = r.waiting; r.won == nil {
				r.launch(attempts)
				timer.Reset(attemptDelay)
			}
		case <-ctx.Done():
			r.finish(cancel, context.Cause(ctx))
			return nil, r.error(context.Cause(ctx))
		}
	}
	if r.won == nil {
		cancel(nil)
		return nil, r.error(nil)
	}
	r.finish(cancel, errOvertaken)
	return r.won, nil
}

// record records the result of an attempt, and reports whether no other one needs to start.
func (r *race) record(got result) bool {
	switch {
	case got.err != nil:
		r.failed(got)
		if r.waiting == nil {
			return false
		}
		r.won = r.waiting
	case r.eager && r.directTried && got.peer != "" && r.directErr == nil && r.waiting == nil:
		// Both began at once: a peer that is ahead by little does not mean that the direct path is down.
		r.waiting = got.conn
	default:
		r.won = got.conn
	}
	return true
}

// launch starts the next attempt, if there is one.
func (r *race) launch(ctx context.Context) {
	if r.peersFirst || r.directTried {
		if peer := r.nextPeer(); peer != nil {
			r.peers = append(r.peers, peer.Name)
			r.start(peer.Name, func() (net.Conn, error) { return r.selector.Tunnels.Dial(ctx, peer, r.server) })
			return
		}
	}
	if !r.directTried {
		r.directTried = true
		r.start("", func() (net.Conn, error) { return r.direct(ctx) })
	}
}

func (r *race) start(peer string, dial func() (net.Conn, error)) {
	r.pending++
	go func() {
		got := result{peer: peer}
		if p := panics.Catch(func() { got.conn, got.err = dial() }); p != nil {
			p.Report(r.selector.Logger, r.selector.Metrics, panics.Dial,
				slog.String(event.KeyServer, r.server), slog.String(event.KeyPeer, peer))
			got.err = p
		}
		r.results <- got
	}()
}

// nextPeer returns the next peer to try, or nil if another one would tell nothing new.
func (r *race) nextPeer() *member.Box {
	if r.confirmed || len(r.peers) >= maxPeers {
		return nil
	}
	return r.selector.choosePeer(r.server, r.lastPeer, r.peers)
}

// failed records an attempt that failed.
func (r *race) failed(got result) {
	r.errs = append(r.errs, got.err)
	switch {
	case got.peer == "":
		r.directErr = got.err
	case errors.Is(got.err, tunnel.ErrServerUnreachable):
		r.confirmed = true
	default:
		r.selector.holdPeer(got.peer)
	}
}

// finish ends the pending attempts and closes their connections. A direct attempt that is
// overtaken or runs out of time has failed.
func (r *race) finish(cancel context.CancelCauseFunc, cause error) {
	cancel(cause)
	if r.waiting != nil && r.waiting != r.won {
		_ = r.waiting.Close() // nothing was sent on it
	}
	if r.directTried && r.directErr == nil {
		r.directErr = cause
	}
	pending := r.pending
	go func() {
		for range pending {
			if late := <-r.results; late.conn != nil {
				_ = late.conn.Close() // nothing was sent on it
			}
		}
	}()
}

// error returns the error of a race that nobody won. Without a peer's word the server may be in order,
// unless there is no peer.
func (r *race) error(cause error) error {
	err := errors.Join(append(r.errs, cause)...)
	if r.confirmed || len(r.peers) == 0 {
		return err
	}
	return fmt.Errorf("%w: %w", exchange.ErrNoPath, err)
}

// causedByCaller reports whether a dial ended because the request ended, which tells nothing about
// the server.
func causedByCaller(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), exchange.ErrDialTimeout)
}

// isRefusal reports whether a dial was refused.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
