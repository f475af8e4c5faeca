package box

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/clockctx"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

const (
	// minStopTime is how long a stopping box goes on serving even if nothing is in flight: the
	// balancer needs two health checks, a second apart, to notice.
	minStopTime = 3 * time.Second
	// stopMargin is the part of the stop time reserved for the process to end.
	stopMargin = 300 * time.Millisecond
	// stopCheckInterval is how often a stopping box checks whether it has finished, besides whenever
	// the last request ends.
	stopCheckInterval = 50 * time.Millisecond
)

// Run serves until the context ends, then stops gracefully: it fails health checks, serves callers
// that still arrive, and lets requests finish within the time that the platform allows.
func (b *Box) Run(ctx context.Context) error {
	if err := b.open(); err != nil {
		return err
	}
	b.build()
	b.beginReloads()
	b.log(event.Start, slog.String(event.KeyDomain, b.Settings.Domain), slog.String(event.KeyAddress, b.Settings.Front))
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	g.Go(func() error { return b.node.Run(inner) })
	g.Go(func() error { return b.listeners.callsMux.Run(inner) })
	g.Go(func() error { return b.share.Serve(inner, b.listeners.callsMux.Others()) })
	g.Go(func() error { return b.tunnels.Serve(inner, b.listeners.callsMux.Matching()) })
	g.Go(func() error { return b.watcher.Run(inner) })
	g.Go(func() error { return b.register(inner) })
	g.Go(func() error { return b.serveReady(inner) })
	g.Go(func() error { return b.front.Run(inner, b.listeners.front) })
	g.Go(func() error { b.quarantine.Run(inner); return nil })
	g.Go(func() error { b.serverLimits.Run(inner); return nil })
	g.Go(func() error { b.departures.Run(inner); return nil })
	g.Go(func() error { b.streams.WatchForStalls(inner); return nil })
	g.Go(func() error { b.streams.PollEngines(inner); return nil })
	g.Go(func() error { b.serveMetrics(inner); return nil })
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			b.stop(inner)
		case <-inner.Done():
		}
		return nil
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	b.flushHeldRequests(ctx)
	b.log(event.StopEnds, slog.Int64(event.KeyOpen, b.cutAtStop.Load()))
	return nil
}

// flushTimeout limits the last write of held requests. It allows for several calls to the store,
// and is a third of stopMargin, which also covers closing connections.
const flushTimeout = 100 * time.Millisecond

// flushHeldRequests writes the held requests that the store lacks: this box may be the only one
// that knows of one.
func (b *Box) flushHeldRequests(ctx context.Context) {
	last, cancel := clockctx.WithTimeout(context.WithoutCancel(ctx), b.Clock, flushTimeout)
	defer cancel()
	b.heldRequests.Flush(last)
}

// stop returns when nothing is in flight and minStopTime has passed, or when the stop time is over.
func (b *Box) stop(ctx context.Context) {
	began := b.Clock.Now()
	b.stopping.Store(true)
	by := began.Add(time.Duration(b.stopGrace.Load()) - stopMargin)
	b.front.Drain(by)
	b.node.TriggerHeartbeat()
	b.log(event.StopBegins, slog.Int(event.KeyOpen, b.front.OpenRequests()))
	ticker := b.Clock.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for {
		idle := b.front.NextIdle()
		if b.stopEnds(began, by) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-idle:
		}
	}
}

// stopEnds reports whether a stop that began at a time and must end by another one is over.
func (b *Box) stopEnds(began, by time.Time) bool {
	now := b.Clock.Now()
	if !now.Before(by) {
		b.cutAtStop.Store(int64(b.front.OpenRequests()))
		return true
	}
	// Other boxes stop using their tunnels through this one as soon as they hear that it stops.
	return now.Sub(began) >= minStopTime && b.tunnels.Open() == 0 && b.front.FinishIfIdle()
}
