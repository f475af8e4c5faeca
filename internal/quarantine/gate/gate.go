// Package gate is the only path of requests to backend servers: first sends, resends, hedges and
// continuations alike.
//
// Before a request is sent, it asks package quarantine whether that is allowed. Afterwards it
// evaluates how the exchange went on and ended: an answer that has begun clears what its prompt shares
// with others, a complete answer the request; a connection that the
// server's side cut raises the question whether the server has ended. The end is taken as proven if
// the server no longer accepts connections, or if within some seconds its entry disappears or is
// replaced by that of a later instance, or another server answers at its address. A server that was
// about to leave proves nothing.
package gate

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/singleflight"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/clockctx"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/fingerprint"
	"github.com/dalebend/dalebend/internal/quarantine"
)

const (
	// probeTimeout bounds the check whether a server still accepts connections: some round trips
	// between regions.
	probeTimeout = 300 * time.Millisecond
	// cutWait is how long the caller of an exchange waits for that check, so that the crash history
	// is updated before the request is sent to another server: some round trips in a region.
	cutWait = 20 * time.Millisecond
	// entryWatchTime is how long after a cut connection the end of the server's entry, or another
	// server at its address, is attributed to it. Entries lapse after three heartbeats of 1.2 s.
	entryWatchTime = 5 * time.Second
	// maxWatched bounds the cut connections that wait for that.
	maxWatched = 256
)

// How the end of a server was detected.
const (
	howNoListener = "it accepts no connection"
	howEntry      = "its entry is gone or of a later start"
	howAddress    = "another server has its address"
)

// Exchanger sends requests, and finds out whether a server accepts connections.
type Exchanger interface {
	Do(ctx context.Context, t exchange.Target, r *exchange.Request) (*exchange.Response, error)
	Listens(ctx context.Context, t exchange.Target) error
}

// Servers looks up server instances by id.
type Servers interface {
	// Takes reports whether an instance may get new work, Known whether it has an entry.
	Takes(id string) bool
	Known(id string) bool
}

// Gate is safe for concurrent use. Set the exported fields before use.
type Gate struct {
	Clock     clockwork.Clock
	Exchanger Exchanger
	Servers   Servers
	Codec     backend.Codec
	Tracker   *quarantine.Tracker

	asked singleflight.Group

	mu      sync.Mutex
	watched []cut
}

// cut is a connection that was cut by a server that still accepts others.
type cut struct {
	server  string
	attempt *quarantine.Attempt
	until   time.Time
}

// Do sends a request. The error is a *quarantine.RefusedError if it may not be sent, else that of
// the exchange. The caller must close the body of the response.
func (g *Gate) Do(ctx context.Context, t exchange.Target, r *exchange.Request) (*exchange.Response, error) {
	attempt, err := g.Tracker.Begin(&quarantine.Subject{
		Fingerprint: fingerprint.Sum(r.Account, r.Method, r.Host, r.URI, r.Body), Account: r.Account,
		Service: r.Service, Model: r.Model, Segments: r.Segments,
	})
	if err != nil {
		return nil, err
	}
	resp, err := g.Exchanger.Do(ctx, t, r)
	if err != nil {
		g.failed(t, attempt, err)
		return nil, err
	}
	if g.Codec.Misdirected(resp.Status) {
		g.recordEnds(howAddress, func(server string) bool { return server == t.Key })
	}
	if g.Codec.NotRun(resp.Status, resp.Header) {
		attempt.Release()
		return resp, nil
	}
	resp.Body = &answer{body: resp.Body, resp: resp, gate: g, target: t, attempt: attempt}
	return resp, nil
}

// failed records an exchange without a complete answer.
func (g *Gate) failed(t exchange.Target, attempt *quarantine.Attempt, err error) {
	var failure *exchange.Failure
	if errors.As(err, &failure) && failure.ConnectionLost() && g.Servers.Takes(t.Key) {
		g.check(t, attempt, func() {
			attempt.Release()
			g.watch(t.Key, attempt)
		})
		return
	}
	attempt.Release()
}

// check finds out whether a server has ended, and records that or calls alive. It waits up to cutWait
// for the result.
func (g *Gate) check(t exchange.Target, attempt *quarantine.Attempt, alive func()) {
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		if g.ended(t) {
			attempt.RecordServerEnd(t.Key, howNoListener)
			return
		}
		alive()
	}()
	timer := g.Clock.NewTimer(cutWait)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.Chan():
	}
}

// ended reports whether a server accepts no connections, from any box. Concurrent checks of one server share a
// single probe.
func (g *Gate) ended(t exchange.Target) bool {
	ended, _, _ := g.asked.Do(t.Key, func() (any, error) {
		ctx, cancel := clockctx.WithTimeout(context.Background(), g.Clock, probeTimeout)
		defer cancel()
		err := g.Exchanger.Listens(ctx, t)
		return err != nil && !errors.Is(err, exchange.ErrNoPath), nil
	})
	return ended.(bool)
}

// watch counts the end of the server's entry within entryWatchTime as an end of the server.
func (g *Gate) watch(server string, attempt *quarantine.Attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if attempt == nil || len(g.watched) >= maxWatched {
		return
	}
	g.watched = append(g.watched, cut{server: server, attempt: attempt, until: g.Clock.Now().Add(entryWatchTime)})
}

// ServersChanged looks for watched instances whose entries are gone.
func (g *Gate) ServersChanged() {
	g.recordEnds(howEntry, func(server string) bool { return !g.Servers.Known(server) })
}

// recordEnds records the ends of the watched instances that have ended, and forgets those that were
// watched for long enough.
func (g *Gate) recordEnds(how string, ended func(server string) bool) {
	now := g.Clock.Now()
	var gone []cut
	g.mu.Lock()
	g.watched = slices.DeleteFunc(g.watched, func(c cut) bool {
		over := now.After(c.until)
		if !over && ended(c.server) {
			gone = append(gone, c)
			return true
		}
		return over
	})
	g.mu.Unlock()
	for _, c := range gone {
		c.attempt.RecordServerEnd(c.server, how)
	}
}
