package box

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

const (
	// peerConfigWait is how long a new box that can't reach the store waits for a peer with a newer
	// configuration before it becomes ready: several rounds of joining.
	peerConfigWait = 800 * time.Millisecond
	// readyHeaderTimeout limits the time for the header of a health check, which the balancer sends
	// each second.
	readyHeaderTimeout = time.Second
	// readyIdleTimeout is how long a connection of the balancer is kept between two checks.
	readyIdleTimeout = time.Minute
	// readyHeadBytes limits the header of a health check.
	readyHeadBytes = 4 << 10
)

// serveReady answers the balancer's health checks: 200 while the box accepts requests.
func (b *Box) serveReady(ctx context.Context) error {
	server := &http.Server{
		Handler: http.HandlerFunc(b.handleReady), ReadHeaderTimeout: readyHeaderTimeout, IdleTimeout: readyIdleTimeout,
		MaxHeaderBytes: readyHeadBytes,
	}
	ended := context.AfterFunc(ctx, func() {
		// Serve may already have closed the listener.
		_ = server.Close()
	})
	defer ended()
	if err := b.smallConnLimit(portReady).Serve(server, b.listeners.ready); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve the balancer: %w", err)
	}
	return nil
}

func (b *Box) handleReady(w http.ResponseWriter, _ *http.Request) {
	ready := b.ready()
	if ready != b.readyLogged.Swap(ready) {
		b.logReady(ready)
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// logReady logs that the box became ready or not ready.
func (b *Box) logReady(ready bool) {
	now := b.knownState()
	version := slog.Int64(event.KeyConfigVersion, now.ConfigVersion)
	if ready {
		b.log(event.Ready, version, slog.Int64(event.KeyViewRevision, now.ViewRevision.Number()),
			slog.Int64(event.KeyEra, now.ViewRevision.Era()),
			slog.Int64(event.KeyElapsed, b.Clock.Since(b.started).Milliseconds()))
		return
	}
	reason := "the box is stopping"
	if !b.stopping.Load() {
		reason = "the configuration, the servers or the cordons are not known yet"
	}
	b.log(event.NotReady, slog.String(event.KeyReason, reason), version)
}

// ready reports whether the box accepts requests. A new box first gets the newest configuration
// that the store or a peer has.
func (b *Box) ready() bool {
	if b.stopping.Load() || !b.hasState() {
		return false
	}
	return b.election.RecentContact() || b.Clock.Since(b.started) > peerConfigWait
}

// hasState reports whether the box has all state that routing needs. Without the cordons a new box
// would send work to a failure domain that is being drained.
func (b *Box) hasState() bool {
	cordonsKnown := !b.Settings.Cordons || b.directory.Cordons().Revision > 0
	return b.share.Table() != nil && b.share.View() != nil && cordonsKnown
}
