package telemetry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/dalebend/dalebend/internal/connlimit"
)

const (
	// readTimeout limits a scraper's request, which is one small GET.
	readTimeout = 5 * time.Second
	// idleTimeout keeps a scraper's connection open between scrapes, which come at intervals from a
	// few seconds to a minute.
	idleTimeout = 2 * time.Minute
	// maxHeadBytes bounds a scraper's request.
	maxHeadBytes = 4 << 10
)

// Serve answers every GET on the listener with all metrics, whatever the path, until ctx ends. It
// then closes the listener and cuts scrapes in progress. It returns the error of a listener that
// failed before. The limiter bounds the scrapers' connections; nil bounds nothing.
func (m *Metrics) Serve(ctx context.Context, ln net.Listener, limiter *connlimit.Limiter) error {
	server := &http.Server{Handler: m, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := limiter.Serve(server, ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP answers one scrape.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		http.Error(w, "metrics are read with GET", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", contentType)
	// A scraper that went away will retry.
	_, _ = w.Write(m.Text())
}
