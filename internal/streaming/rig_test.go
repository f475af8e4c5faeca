package streaming_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/accountshare"
	"github.com/dalebend/dalebend/internal/cowmap"
	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/evidence"
	"github.com/dalebend/dalebend/internal/outputlength"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/prefilltime"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/request"
	"github.com/dalebend/dalebend/internal/retrybudget"
	"github.com/dalebend/dalebend/internal/retrypriority"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/runerr"
	"github.com/dalebend/dalebend/internal/shutdownnotice"
	"github.com/dalebend/dalebend/internal/staleness"
	"github.com/dalebend/dalebend/internal/streaming"
)

// step is the increment by which the clock is advanced.
const step = 5 * time.Millisecond

// longestCall exceeds the longest wait of a relay: for the reply to a call to an engine, and then
// for the expiry of a copy that the call may have left.
const longestCall = 6 * time.Second

// rig is a relay with one generation, in a synctest bubble with a fake clock. After each action it
// waits until all goroutines are blocked.
type rig struct {
	fleet   *fleet
	clock   *clockwork.FakeClock
	relay   *streaming.Relay
	servers map[string]registry.Server
	// vanished holds the entries that went.
	vanished map[string]registry.Server
	service  *routetable.Service
	route    *routetable.Route
	sink     *sink
	// age is the age of the server list.
	age time.Duration

	guard  context.CancelFunc
	caller context.CancelFunc
	done   chan struct{}
	err    error
}

// terms are the parameters of a test.
type terms struct {
	backups bool
	// retries is the size of the retry budget.
	retries int
	// linkMbps is the rate of the links between engines, in Mbit/s.
	linkMbps int
	// expected is the caller's hint of the number of tokens.
	expected int
	// most is the caller's maximum of tokens; 0 is unbounded.
	most int
	// objective is the route's objective for the first event; 0 is none.
	objective time.Duration
	// urgent is the shortest objective of more urgent streams; 0 is none.
	urgent time.Duration
}

func newRig(f *fleet, tm terms, ids ...string) *rig {
	r := &rig{fleet: f, clock: clockwork.NewFakeClockAt(time.Unix(1000, 0)), servers: make(map[string]registry.Server), vanished: make(map[string]registry.Server)}
	f.now = r.clock.Now
	r.service = &routetable.Service{Name: "chat", Engine: &routetable.Engine{
		Slots: 20, MemoryTokens: 100000, Moves: true, Backups: tm.backups, TokensPerEvent: 4,
		CopyTTL: 2 * time.Second, TokenBytes: 160000, LinkMbps: float64(tm.linkMbps),
	}}
	r.route = &routetable.Route{Name: "r", Stream: true, Objective: tm.objective}
	r.sink = &sink{rig: r}
	r.buildRelay(tm)
	for i, id := range ids {
		r.servers[id] = registry.Server{ID: id, Service: "chat", Addr: addrOf(id), Domain: domainOf(id), Slots: 20}
		// Each engine has more load than the one before, so that they are picked in order.
		load := digest.Load{Server: id, Streams: int32(i), Tokens: int32(i * 5000)}
		r.relay.EngineLoad.UpdatePeer("load of "+id, []digest.Load{load})
	}
	r.showServers()
	ctx, cancel := context.WithCancel(context.Background())
	r.guard = cancel
	go r.relay.WatchForStalls(ctx)
	go r.relay.PollEngines(ctx)
	synctest.Wait()
	return r
}

// load sets the load of other boxes on an engine.
func (r *rig) load(id string, tokens, unread int) {
	r.relay.EngineLoad.UpdatePeer("load of "+id, []digest.Load{{Server: id, Tokens: int32(tokens), Prefill: int32(unread)}})
}

// domainOf returns the failure domain of an engine.
func domainOf(id string) string {
	if strings.HasPrefix(id, "far") {
		return "far"
	}
	return "hall"
}

// cordon cordons exactly these failure domains.
func (r *rig) cordon(domains []string) {
	before := r.relay.Directory.Cordons()
	r.relay.Directory.SetCordons(registry.Cordons{Revision: before.Revision + 1, Domains: domains})
	synctest.Wait()
}

func (r *rig) buildRelay(tm terms) {
	directory := &registry.Directory{
		Clock: r.clock, StoreReturned: func() time.Time { return time.Time{} },
		OnLeft: func(ids []string) { r.relay.Evacuate(ids) },
	}
	book := &evidence.Tracker{Clock: r.clock}
	ledger := engineload.New()
	r.relay = &streaming.Relay{
		Box: "box", Clock: r.clock, Logger: slog.New(slog.DiscardHandler),
		Picker: &picker.Picker{
			Directory: directory, Evidence: book, EngineLoad: ledger, Domain: "hall", Rand: rand.New(rand.NewPCG(1, 2)),
		},
		Directory: directory, Evidence: book, EngineLoad: ledger, AnswerLengths: &outputlength.Estimator{}, PrefillTime: &prefilltime.Estimator{},
		ShutdownNotice: &shutdownnotice.Estimator{Clock: r.clock}, RetryPriority: &retrypriority.Tracker{Clock: r.clock}, AccountShares: &accountshare.Tracker{Clock: r.clock},
		Exchanger: r.fleet, Codec: codec{}, Mover: r.fleet, StatusReader: r.fleet,
		Staleness: func() staleness.State { return staleness.State{Age: r.age} },
		RetryBudget: &retrybudget.Budget{
			Clock: r.clock, Boxes: func() int { return 1 },
			// Three quarters of the budget are used up.
			Limits: retrybudget.Limits{Minimum: (tm.retries*4 + 2) / 3, Window: time.Hour},
		},
	}
}

func (r *rig) showServers() {
	r.relay.Directory.Set(&registry.View{Servers: cowmap.Of(r.servers)})
}

// start begins the generation, possibly after an earlier one has ended, with a deadline.
func (r *rig) start(tm terms, within time.Duration) {
	if r.caller != nil {
		r.caller()
	}
	deadline := r.clock.Now().Add(within)
	ctx, cancel := clockwork.WithDeadline(context.Background(), r.clock, deadline)
	r.caller = cancel
	r.done = make(chan struct{})
	job := &streaming.Job{
		Request: &request.Request{
			ID: "q1", Method: http.MethodPost, PromptTokens: 100, UniqueSegment: "p1", HintTokens: tm.expected, MaxTokens: tm.most, Arrived: r.clock.Now(),
		},
		Route: r.route, Service: r.service, Account: "kiosk", UrgentObjective: tm.urgent, Deadline: deadline,
	}
	go func() {
		defer close(r.done)
		r.err = r.relay.Serve(ctx, job, r.sink)
	}()
	synctest.Wait()
}

func (r *rig) advance(d time.Duration) {
	for left := d; left > 0; left -= step {
		r.clock.Advance(min(left, step))
		synctest.Wait()
		r.fleet.checkOverlap()
	}
}

// drain marks an engine as leaving.
func (r *rig) drain(id string) { r.setState(id, registry.Draining) }

func (r *rig) setState(id string, state registry.State) {
	s, exists := r.servers[id]
	if !exists {
		s = r.vanished[id]
	}
	s.State = state
	r.servers[id] = s
	r.showServers()
	synctest.Wait()
}

// learn puts the present instance of an engine into the view.
func (r *rig) learn(id string) {
	s := r.servers[id]
	s.Born = r.fleet.engines[id].born
	s.ID = registry.InstanceID(id, s.Born)
	s.State = registry.Ready
	r.servers[id] = s
	r.showServers()
	synctest.Wait()
}

// gone removes an engine from the view.
func (r *rig) gone(id string) {
	if s, exists := r.servers[id]; exists {
		r.vanished[id] = s
	}
	delete(r.servers, id)
	r.showServers()
	synctest.Wait()
}

// ended reports whether Serve has returned.
func (r *rig) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// stop ends the generation and the relay's background work.
func (r *rig) stop() {
	r.guard()
	if r.caller != nil {
		r.caller()
		<-r.done
	}
	// Hanging calls time out.
	r.advance(longestCall)
	synctest.Wait()
}

// kind names the result of Serve.
func kind(err error) string {
	var notRun *runerr.NotRun
	var perhaps *runerr.PerhapsRun
	var broken *streaming.Broken
	switch {
	case err == nil:
		return "whole"
	case errors.As(err, &notRun):
		return "not run"
	case errors.As(err, &perhaps):
		return "perhaps run"
	case errors.As(err, &broken):
		return "broken"
	default:
		return "another error"
	}
}

// sink models the caller.
type sink struct {
	rig *rig

	mu     sync.Mutex
	status int
	heads  int
	got    bytes.Buffer
	gone   bool
	// taken counts the bytes already returned by fresh.
	taken int
	// full, if set, is closed when a caller that takes nothing is dropped or takes everything.
	full    chan struct{}
	fullErr error
}

// Behind reports whether the caller takes nothing.
func (s *sink) Behind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full != nil
}

// errTooSlow ends the stream of a caller that is dropped for being slow.
var errTooSlow = errors.New("the caller is too slow")

// fill puts the caller behind, and empty ends that.
func (s *sink) fill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = make(chan struct{})
}

func (s *sink) empty(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullErr = err
	close(s.full)
}

// Await waits until the caller takes something or is dropped.
func (s *sink) Await(ctx context.Context, _ int) error {
	s.mu.Lock()
	full := s.full
	s.mu.Unlock()
	select {
	case <-full:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.full = nil
		return s.fullErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *sink) Head(status int, _ http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.heads++
}

func (s *sink) Events(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return errors.New("caller is gone")
	}
	s.got.Write(p)
	return nil
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

// fresh returns the bytes received since the last call.
func (s *sink) fresh() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.got.String()
	defer func() { s.taken = len(all) }()
	return all[s.taken:]
}
