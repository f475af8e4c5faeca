package box_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/box"
	"github.com/dalebend/dalebend/internal/boxsettings"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/telemetry"
	"github.com/dalebend/dalebend/platform"
	"github.com/dalebend/dalebend/platform/standin"
)

// tickerClock is a fake clock that reports which tickers are created.
type tickerClock struct {
	*clockwork.FakeClock

	made chan time.Duration
}

func (c *tickerClock) NewTicker(d time.Duration) clockwork.Ticker {
	t := c.FakeClock.NewTicker(d)
	select {
	case c.made <- d:
	default:
	}
	return t
}

// logRecorder records the lines of the decision log.
type logRecorder struct {
	mu      sync.Mutex
	lines   []line
	changed chan struct{}
	// onLine, if set, is called with the name of each line before the logger returns.
	onLine func(name string)
}

// line is one log line.
type line struct {
	name  string
	attrs map[string]slog.Value
}

func (j *logRecorder) Enabled(context.Context, slog.Level) bool { return true }
func (j *logRecorder) WithAttrs([]slog.Attr) slog.Handler       { return j }
func (j *logRecorder) WithGroup(string) slog.Handler            { return j }

func (j *logRecorder) Handle(_ context.Context, r slog.Record) error {
	l := line{name: r.Message, attrs: make(map[string]slog.Value)}
	r.Attrs(func(a slog.Attr) bool {
		l.attrs[a.Key] = a.Value.Resolve()
		return true
	})
	if j.onLine != nil {
		j.onLine(l.name)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, l)
	close(j.changed)
	j.changed = make(chan struct{})
	return nil
}

// await waits for a line of an event for which ok, if set, returns true.
func (j *logRecorder) await(name event.Name, ok func(attrs map[string]slog.Value) bool) {
	for {
		j.mu.Lock()
		for _, l := range j.lines {
			if l.name == string(name) && (ok == nil || ok(l.attrs)) {
				j.mu.Unlock()
				return
			}
		}
		changed := j.changed
		j.mu.Unlock()
		<-changed
	}
}

// has reports whether there is a line of an event.
func (j *logRecorder) has(name event.Name) bool { return j.contains(name, nil) }

// contains reports whether there is a line of an event for which ok, if set, returns true.
func (j *logRecorder) contains(name event.Name, ok func(attrs map[string]slog.Value) bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.ContainsFunc(j.lines, func(l line) bool { return l.name == string(name) && (ok == nil || ok(l.attrs)) })
}

// forget drops the lines recorded so far.
func (j *logRecorder) forget() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = nil
}

// rig is a box with a store and backend servers. Its clock is advanced by the test only.
type rig struct {
	t     *testing.T
	clock *tickerClock
	// time is the box's clock if it isn't clock.
	time    clockwork.Clock
	log     *logRecorder
	store   *standin.Store
	engines *standin.Fleet
	metrics *telemetry.Metrics

	settings *boxsettings.Settings
	// reloaded, if set, are settings that change while the box starts.
	reloaded *boxsettings.Settings
	// dialer, if set, dials the backend servers.
	dialer exchange.Dialer
	stop   context.CancelFunc
	ended  chan error
}

// boxIP returns a loopback address that no other process uses, derived from the process id. On a
// shared one, a server of another process may get the port of a server that has just crashed.
func boxIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&127, pid>>8&255, pid&255)
}

func newRig(t *testing.T) *rig {
	// In this year no deadline of a real connection has passed.
	clock := clockwork.NewFakeClockAt(time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC))
	r := &rig{
		t: t, clock: &tickerClock{FakeClock: clock, made: make(chan time.Duration, 100)},
		log: &logRecorder{changed: make(chan struct{})}, ended: make(chan error, 1), metrics: telemetry.New(),
	}
	r.store = &standin.Store{Clock: r.clock}
	server := httptest.NewServer(r.store)
	t.Cleanup(server.Close)
	ip := boxIP()
	r.engines = &standin.Fleet{Store: r.store, Host: ip}
	t.Cleanup(r.engines.Close)
	r.settings = &boxsettings.Settings{
		Box: "box-1", Domain: "hall", Front: ip + ":7401", Ready: ip + ":7402", Heartbeat: ip + ":7403",
		Calls: ip + ":7403", Metrics: ip + ":7404", Store: server.Listener.Addr().String(),
		StopGrace: 10 * time.Second, RetryRatio: 0.1, RetryFloor: 20, RetryWindow: time.Minute,
	}
	return r
}

// run starts the box.
func (r *rig) run() {
	logger := slog.New(r.log)
	if r.time == nil {
		r.time = r.clock
	}
	client := &exchange.Client{
		Clock: r.time, Logger: logger, Metrics: r.metrics.Registry(), DialTimeout: time.Second, MaxIdlePerServer: 4,
		Dialer: r.dialer,
	}
	store := &platform.Store{Addr: r.settings.Store, Clock: r.time, Logger: logger, Metrics: r.metrics.Registry()}
	moves := &platform.EngineClient{Exchanger: client}
	b := &box.Box{
		Clock: r.time, Logger: logger, Metrics: r.metrics, Settings: r.settings, Exchange: client, Seed: 1,
		Platform: box.Platform{
			Source: store, Boxes: store, Decode: platform.DecodeTable, Wire: platform.Codec{},
			Codec: platform.Codec{}, Mover: moves, Reporter: moves, HeldRequests: store,
		},
	}
	if r.reloaded != nil {
		b.Reload(r.reloaded)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.ended <- b.Run(ctx) }()
	r.t.Cleanup(r.end)
	r.log.await(event.Start, nil)
	r.awaitTicker(guardTicker)
}

// Intervals of the box's tickers: the check of streams, and the check for open requests while it
// stops.
const (
	guardTicker = 25 * time.Millisecond
	stopTicker  = 50 * time.Millisecond
)

// awaitTicker waits until a ticker with the given interval is created.
func (r *rig) awaitTicker(d time.Duration) {
	for got := range r.clock.made {
		if got == d {
			return
		}
	}
}

// end stops the box if it runs, and requires that it ends without an error.
func (r *rig) end() {
	if r.stop == nil {
		return
	}
	r.stop()
	r.stop = nil
	r.awaitTicker(stopTicker)
	r.clock.Advance(r.settings.StopGrace)
	require.NoError(r.t, <-r.ended)
	r.log.requireDeclared(r.t)
}

// ready sends the balancer's health check.
func (r *rig) ready() bool {
	resp, err := http.Get("http://" + r.settings.Ready + "/")
	require.NoError(r.t, err)
	require.NoError(r.t, resp.Body.Close())
	return resp.StatusCode == http.StatusOK
}

// standard writes a configuration with a plain service, with a route for idempotent requests and
// one for others, and a service of engines.
func (r *rig) standard() {
	r.store.PutConfig(config(1))
}

func config(version int64) standin.Config {
	return standin.Config{
		Version: version,
		Routes: []standin.ConfigRoute{
			{Name: "once", Host: "once.test", PathPrefix: "/", Type: "non_idempotent", Service: "plain", MaxServers: 1, TimeoutMs: 60000, ObjectiveMs: 500, Priority: 2},
			{Name: "many", Host: "many.test", PathPrefix: "/", Type: "idempotent", Service: "plain", MaxServers: 3, TimeoutMs: 60000, ObjectiveMs: 500},
			{Name: "chat", Host: "chat.test", PathPrefix: "/", Type: "streaming", Service: "chat", MaxServers: 1, TimeoutMs: 600000, ObjectiveMs: 500, Priority: 1},
		},
		Services: []standin.ConfigService{
			{Name: "plain", MaxConns: 100},
			{Name: "chat", MaxConns: 100, Engine: &standin.ConfigEngine{
				Slots: 8, MemoryTokens: 100000, Moves: true, Backups: true, TokensPerEvent: 4,
			}},
		},
	}
}

// server starts a backend server.
func (r *rig) server(id, service string) *standin.BackendServer {
	e, err := r.engines.Start(id, service, "hall", service == "chat")
	require.NoError(r.t, err)
	return e
}

// awaitServers waits until the box knows the given numbers of servers and of draining ones.
func (r *rig) awaitServers(known, draining int64) {
	r.log.await(event.ServersView, func(a map[string]slog.Value) bool {
		servers, ok := a[event.KeyServers]
		return ok && servers.Int64() == known && a[event.KeyDraining].Int64() == draining
	})
}

func (r *rig) awaitConfig(version int64) {
	r.log.await(event.ConfigInForce, func(a map[string]slog.Value) bool { return a[event.KeyVersion].Int64() == version })
}

// awaitWatches waits until the box watches all kinds: the configuration, the servers and the held
// requests.
func (r *rig) awaitWatches() {
	require.Eventually(r.t, func() bool { return r.store.OpenWatches() == 3 }, time.Minute, time.Millisecond)
}

// call sends a request and returns the header of its answer.
func (r *rig) call(c standin.Call) *standin.Reply {
	r.t.Helper()
	got, err := standin.Send(r.t.Context(), r.settings.Front, c)
	require.NoError(r.t, err)
	return got
}

// ask sends a request and reads its whole answer.
func (r *rig) ask(c standin.Call) (*standin.Reply, string) {
	r.t.Helper()
	got := r.call(c)
	text, err := got.Text()
	require.NoError(r.t, err)
	return got, text
}
