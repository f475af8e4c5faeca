package run_test

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/boxsettings"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/platform"
)

const (
	// hostileArg lets the test's own program be a hostile box, staleArg one that knows only the servers of
	// its start.
	hostileArg = "hostile-box"
	staleArg   = "stale-box"
	// lastRequest is the number of the request at which a hostile box ends itself.
	lastRequest = 40
)

// hostile is a box that breaks promises: it takes the servers from the store once,
// passes requests on to two of any service with all headers, and alters some
// answers. It ends by itself, and at once when it is told to stop.
type hostile struct {
	servers []registry.Server
	taken   atomic.Int64
	// stale boxes do nothing else.
	stale bool
}

// runHostile is the main of a hostile box, or of a stale one.
func runHostile(stale bool) error {
	s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	store := &platform.Store{Addr: s.Store, Clock: clockwork.NewRealClock(), Logger: slog.New(slog.DiscardHandler)}
	view, err := store.Servers(context.Background())
	if err != nil {
		return err
	}
	h := &hostile{stale: stale}
	for _, server := range view.Servers.All() {
		h.servers = append(h.servers, server)
	}
	return h.serve(s)
}

func (h *hostile) serve(s *boxsettings.Settings) error {
	go func() {
		ready := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		if err := http.ListenAndServe(s.Ready, ready); err != nil {
			panic(err)
		}
	}()
	return http.ListenAndServe(s.Front, h)
}

// ServeHTTP answers one request, in a way that its number says.
func (h *hostile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := h.taken.Add(1)
	if n == lastRequest && !h.stale {
		os.Exit(3)
	}
	model := r.Host == "chat.test"
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	candidates := slices.DeleteFunc(slices.Clone(h.servers), func(s registry.Server) bool {
		return (s.Service == "chat") != model
	})
	if h.stale {
		h.pass(w, r, string(body), candidates[n%int64(len(candidates))], untouched)
		return
	}
	for range 2 {
		h.pass(w, r, string(body), candidates[n%int64(len(candidates))], n)
		n++
	}
}

// untouched is a number with which an answer is not altered.
const untouched = 3

// pass passes a request on to a server, and its altered answer back.
func (h *hostile) pass(w http.ResponseWriter, r *http.Request, body string, to registry.Server, n int64) {
	onward := r.Clone(r.Context())
	onward.RequestURI = ""
	onward.URL.Opaque = r.RequestURI
	onward.URL.Scheme, onward.URL.Host = "http", to.Addr
	onward.Body = io.NopCloser(strings.NewReader(body))
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(onward)
	if err != nil {
		return
	}
	text, _ := io.ReadAll(resp.Body) // what came is passed on
	_ = resp.Body.Close()
	switch n % 5 {
	case 0:
		w.WriteHeader(http.StatusServiceUnavailable)
	case 1:
		text = text[:len(text)/2]
	case 2:
		clear(resp.Header)
	}
	resp.Header.Del("Content-Length")
	maps.Copy(w.Header(), resp.Header)
	_, _ = w.Write(text) // the caller may be gone
}
