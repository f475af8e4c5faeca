package box

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

const (
	// stopLeast is the time that a box goes on serving after the order to stop
	// even when nothing is in flight: the balancer needs two questions, a second
	// apart, to notice.
	stopLeast = 3 * time.Second
	// stopMargin is what is left of the time to stop for the process to end.
	stopMargin = 300 * time.Millisecond
	// stopCheck is how often a stopping box looks whether it has finished.
	stopCheck = 50 * time.Millisecond
	// tryPeers is how long a fresh box that cannot reach the store waits for a
	// peer with a newer configuration before it calls itself ready: some rounds
	// of joining.
	tryPeers = 800 * time.Millisecond
	// registerAgain is the pause before the box enters itself in the store again
	// after a failure.
	registerAgain = time.Second
)

// listeners are the open sockets of a box.
type listeners struct {
	front     net.Listener
	ready     net.Listener
	calls     net.Listener
	heartbeat net.PacketConn
}

// open opens the sockets. On an error those that were opened are closed.
func (b *Box) open() (err error) {
	s := b.Settings
	l := &b.listeners
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	if l.heartbeat, err = net.ListenPacket("udp", s.Heartbeat); err != nil {
		return fmt.Errorf("listen for heartbeats: %w", err)
	}
	if l.calls, err = net.Listen("tcp", s.Calls); err != nil {
		return fmt.Errorf("listen for other boxes: %w", err)
	}
	if l.ready, err = net.Listen("tcp", s.Ready); err != nil {
		return fmt.Errorf("listen for the balancer: %w", err)
	}
	if l.front, err = net.Listen("tcp", s.Front); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return nil
}

func (l *listeners) close() {
	for _, c := range []interface{ Close() error }{l.heartbeat, l.calls, l.ready, l.front} {
		if c != nil {
			// They were opened in vain; nothing was sent on them.
			_ = c.Close()
		}
	}
}

// Run serves until the context ends, then stops: it tells the balancer, serves
// on while callers still come, and lets every request end within the time that
// the platform gives.
func (b *Box) Run(ctx context.Context) error {
	if err := b.open(); err != nil {
		return err
	}
	b.build()
	b.running.Store(true)
	b.log(event.Start, slog.String(event.KeyDomain, b.Settings.Domain), slog.String(event.KeyAddress, b.Settings.Front))
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	g.Go(func() error { return b.node.Run(inner) })
	g.Go(func() error { return b.share.Serve(inner, b.listeners.calls) })
	g.Go(func() error { return b.watcher.Run(inner) })
	g.Go(func() error { return b.register(inner) })
	g.Go(func() error { return b.serveReady(inner) })
	g.Go(func() error { return b.front.Run(inner, b.listeners.front) })
	g.Go(func() error { b.streams.Guard(inner); return nil })
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
	b.log(event.StopEnds, slog.Int64(event.KeyOpen, b.cutAtEnd.Load()))
	return nil
}

// stop serves on until nothing is in flight and callers have had time to go
// elsewhere, or the time to stop is over.
func (b *Box) stop(ctx context.Context) {
	began := b.Clock.Now()
	b.stopping.Store(true)
	by := began.Add(time.Duration(b.stopGrace.Load()) - stopMargin)
	b.front.Stop(by)
	b.node.Kick()
	b.log(event.StopBegins, slog.Int(event.KeyOpen, b.front.Open()))
	ticker := b.Clock.NewTicker(stopCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if !b.Clock.Now().Before(by) {
			b.cutAtEnd.Store(int64(b.front.Open()))
			return
		}
		if b.Clock.Since(began) >= stopLeast && b.front.Open() == 0 {
			return
		}
	}
}

// register enters this box in the store and learns the others, until it worked once.
func (b *Box) register(ctx context.Context) error {
	for {
		err := b.Platform.Boxes.PutBox(ctx, b.self())
		if err == nil {
			err = b.learnBoxes(ctx)
		}
		if err == nil {
			return nil
		}
		b.Logger.Warn("box could not be entered in the store", "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-b.Clock.After(registerAgain):
		}
	}
}

func (b *Box) learnBoxes(ctx context.Context) error {
	boxes, err := b.Platform.Boxes.Boxes(ctx)
	if err != nil {
		return err
	}
	b.most(len(boxes))
	b.node.AddBoxes(boxes)
	return nil
}

// serveReady answers the balancer: 200 while the box takes requests.
func (b *Box) serveReady(ctx context.Context) error {
	server := &http.Server{Handler: http.HandlerFunc(b.answerReady), ReadHeaderTimeout: time.Second}
	ended := context.AfterFunc(ctx, func() {
		// The listener is closed already when Serve has ended by itself.
		_ = server.Close()
	})
	defer ended()
	if err := server.Serve(b.listeners.ready); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve the balancer: %w", err)
	}
	return nil
}

func (b *Box) answerReady(w http.ResponseWriter, _ *http.Request) {
	ready := b.ready()
	if ready != b.readyLogged.Swap(ready) {
		b.logReady(ready)
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// logReady tells that the box takes requests, or no longer.
func (b *Box) logReady(ready bool) {
	now := b.beliefs()
	version := slog.Int64(event.KeyConfigVersion, now.ConfigVersion)
	if ready {
		b.log(event.Ready, version, slog.Int64(event.KeyViewRevision, now.ViewRevision),
			slog.Int64(event.KeyElapsed, b.Clock.Since(b.started).Milliseconds()))
		return
	}
	reason := "the box is stopping"
	if !b.stopping.Load() {
		reason = "the configuration or the servers are not known yet"
	}
	b.log(event.NotReady, slog.String(event.KeyReason, reason), version)
}

// ready reports whether the box takes requests. A fresh box first takes the
// newest configuration that the store or a peer has.
func (b *Box) ready() bool {
	if b.stopping.Load() || b.share.Table() == nil || b.share.View() == nil {
		return false
	}
	return b.duty.Recent() || b.Clock.Since(b.started) > tryPeers
}
