package loadrun

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/fleetfile"
	"github.com/dalebend/dalebend/internal/gateway"
	"github.com/dalebend/dalebend/internal/httpserve"
	"github.com/dalebend/dalebend/internal/logging"
	"github.com/dalebend/dalebend/internal/policy"
	"github.com/dalebend/dalebend/internal/router"
	"github.com/dalebend/dalebend/internal/standin/backends"
	"github.com/dalebend/dalebend/internal/standin/engine"
	"github.com/dalebend/dalebend/internal/standin/plain"
	"github.com/dalebend/dalebend/internal/standin/sampletext"
)

const (
	loadLag = time.Second
	// warmShare is the part of a run whose requests are served but not timed: the
	// engines fill and the lengths are learned.
	warmShare = 3
	// drainLimit is how long after the last arrival answers are waited for.
	drainLimit  = 40 * time.Second
	oracle      = "oracle"
	nearlyNone  = 0.001
	firstReport = 1100 * time.Millisecond
)

// bench is one run: stand-ins and routers in this process.
type bench struct {
	workload *workload
	policy   string
	seed     uint64
	boxes    int
	yield    bool
	margin   float64
	clock    clockwork.Clock
	// faults lets stand-ins and links fail at random; progress hears how often.
	faults   bool
	progress io.Writer

	group   *errgroup.Group
	file    *fleetfile.File
	engines []*engine.Engine
	plain   []*plain.Server
	routers []*router.Router
	addrs   []string
	// listeners are those for callers, which can be cut.
	listeners []*httpserve.Listener
	// peers are the addresses of routers for each other.
	peers map[string]string
}

// start starts the stand-ins and the routers.
func (b *bench) start(ctx context.Context) error {
	var err error
	if b.file, err = b.workload.fleetOf(); err != nil {
		return fmt.Errorf("generated fleet: %w", err)
	}
	if err := b.startStandins(ctx); err != nil {
		return err
	}
	b.peers = make(map[string]string)
	for i := range b.boxes {
		if err := b.startRouter(ctx, i); err != nil {
			return err
		}
	}
	for _, r := range b.routers {
		r.SetPeers(b.peers)
	}
	// The routers hear a first load report from every engine.
	<-b.clock.After(firstReport)
	return nil
}

func (b *bench) startStandins(ctx context.Context) error {
	set, err := backends.Start(ctx, b.group, b.file, b.clock)
	if err != nil {
		return err
	}
	b.engines, b.plain = set.Engines, set.Plain
	return nil
}

func (b *bench) startRouter(ctx context.Context, i int) error {
	r := &router.Router{
		Box: fmt.Sprintf("box-%d", i), Domain: fmt.Sprintf("d%d", i%domains),
		LoadLag: loadLag, PollEvery: loadLag, Clock: b.clock, Seed: b.seed<<8 + uint64(i),
		Logger: logging.Discard(), Margin: b.margin,
		Gateway: gateway.Server{ResumeGrace: 500 * time.Millisecond},
	}
	switch b.policy {
	case oracle:
		r.Told = sampletext.Length
		r.Margin = nearlyNone
		r.Yield = b.yield
	default:
		p, err := policy.ByName(b.policy)
		if err != nil {
			return err
		}
		r.Policy = p
		r.Yield = b.yield && b.policy == "dalebend"
	}
	peerLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for routers: %w", err)
	}
	if b.policy == "dalebend" || b.policy == oracle {
		r.PeerListener = peerLn
		b.peers[r.Box] = peerLn.Addr().String()
	}
	r.Prepare()
	names := make([]string, 0, b.boxes)
	for n := range b.boxes {
		names = append(names, fmt.Sprintf("box-%d", n))
	}
	r.Scheduler().SetBoxes(names)
	r.Holder.Offer(fleet.New(1, b.file))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	cuttable := httpserve.NewListener(ln)
	b.listeners = append(b.listeners, cuttable)
	b.routers = append(b.routers, r)
	b.addrs = append(b.addrs, ln.Addr().String())
	b.group.Go(func() error { return r.Run(ctx, cuttable, nil) })
	return nil
}

// run drives the arrivals and returns the figures.
func (b *bench) run(ctx context.Context, list []arrival, duration time.Duration) (Metrics, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b.group, ctx = errgroup.WithContext(ctx)
	if err := b.start(ctx); err != nil {
		return Metrics{}, err
	}
	rec := newRecorder(duration/warmShare, duration, b.workload.accounts[0].name)
	c := &client{clock: b.clock, began: b.clock.Now(), boxes: b.addrs, model: modelName, keyOf: key, check: true}
	c.from, c.to = rec.warm, rec.end
	c.prepare()
	stopFaults := b.startFaults(ctx, c)
	warm := &pushedOut{}
	b.group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-b.clock.After(rec.warm):
			warm.preempted, warm.pushed = b.pushedOut()
		}
		return nil
	})
	beliefs := &beliefs{}
	b.group.Go(func() error { b.compare(ctx, rec, beliefs); return nil })
	drive(ctx, c, rec, list)
	stopFaults()
	m := rec.metrics()
	m.complete(len(list))
	m.MemoryBias, m.MemoryRMS = beliefs.percent()
	preempted, pushed := b.pushedOut()
	m.Preemptions = preempted - warm.preempted
	m.PushedAside = pushed - warm.pushed
	b.count(&m)
	cancel()
	return m, b.group.Wait()
}

// startFaults lets things fail until the returned function is called.
func (b *bench) startFaults(ctx context.Context, c *client) (stop func()) {
	if !b.faults {
		return func() {}
	}
	c.resume = true
	i := &injector{bench: b, rng: rand.New(rand.NewPCG(b.seed, 11)), counts: make(map[string]int)}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.run(ctx)
	}()
	return func() {
		cancel()
		<-done
		fmt.Fprintf(b.progress, "faults: %s\n", i)
	}
}

// count takes what the stand-ins counted themselves.
func (b *bench) count(m *Metrics) {
	for _, p := range b.plain {
		runs, repeated := p.Counts()
		m.PlainRuns += int64(runs)
		m.Repeated += int64(repeated)
	}
	for _, e := range b.engines {
		m.EnginesStarted += e.Started()
		m.EnginesFinished += e.Finished()
		m.EnginesCancelled += e.Cancelled()
	}
}

// pushedOut counts work that was pushed out of engines.
type pushedOut struct{ preempted, pushed int64 }

// pushedOut returns how often engines preempted and routers pushed aside so far.
func (b *bench) pushedOut() (preempted, pushed int64) {
	for _, e := range b.engines {
		preempted += e.Preemptions()
	}
	for _, r := range b.routers {
		pushed += r.Scheduler().Preemptions()
	}
	return preempted, pushed
}

// drive makes each request when it is due, whatever became of earlier ones, and
// waits for the answers.
func drive(ctx context.Context, c *client, rec *recorder, list []arrival) {
	var wg sync.WaitGroup
	for i := range list {
		a := &list[i]
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(a.at - c.clock.Since(c.began)):
		}
		wg.Go(func() { rec.note(c.do(a)) })
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	case <-c.clock.After(drainLimit):
	}
}
