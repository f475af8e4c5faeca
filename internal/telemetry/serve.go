package telemetry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// readTimeout bounds a scraper's request; it is one small GET.
	readTimeout = 5 * time.Second
	// idleTimeout keeps a scraper's connection between scrapes, which come every few
	// seconds up to a minute.
	idleTimeout = 2 * time.Minute
)

// Serve answers every GET on the listener with all metrics, whatever its path, until
// ctx ends. The listener is closed then, and scrapes under way are cut. It returns
// the error of a listener that failed before.
func (m *Metrics) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{Handler: m, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
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
	// A scraper that went away asks again.
	_, _ = w.Write(m.Text())
}
