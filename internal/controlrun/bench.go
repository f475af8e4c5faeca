// Package controlrun measures the control path: how soon an accepted configuration
// is in force on all boxes, and what the controllers cost at rest and while the
// configuration changes.
//
// All controllers run in this process, with the object API and the box list as
// stand-ins on loopback; bytes are counted on their connections.
package controlrun

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	platform "github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/configstore"
	"github.com/dalebend/dalebend/internal/controller"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/logging"
	"github.com/dalebend/dalebend/internal/objectapi"
	"github.com/dalebend/dalebend/internal/resources"
	"github.com/dalebend/dalebend/internal/standin/boxlist"
	"github.com/dalebend/dalebend/internal/standin/fault"
	"github.com/dalebend/dalebend/internal/standin/objectstore"
)

const (
	domains     = 6
	settle      = 8 * time.Second
	applyLimit  = 30 * time.Second
	pollEvery   = 2 * time.Millisecond
	operatorCap = 100
	journalSize = 100
)

// Bench is one measurement for each number of boxes. Set the exported fields before
// Run.
type Bench struct {
	// Boxes are the numbers of boxes.
	Boxes []int
	// Applies is the number of configurations that are accepted one after another.
	Applies int
	// Rest is how long the controllers are watched without a change.
	Rest time.Duration
	// Servers is the number of backend servers in the fleet file.
	Servers int
	// Fault is "", "box-dies", "link-stalls" or "store-loses-answers".
	Fault string
	// Clock gives the time.
	Clock clockwork.Clock
	// Out gets the table, Progress a line for each step.
	Out      io.Writer
	Progress io.Writer
}

// run is one number of boxes.
type run struct {
	bench       *Bench
	group       *errgroup.Group
	store       *objectstore.Store
	storeAddr   string
	listAddr    string
	traffic     traffic
	controllers []*controller.Controller
	stops       []context.CancelFunc
	links       []*listener
}

// cost is what the controllers used over a time.
type cost struct {
	storeCalls float64
	writes     float64
	bytes      float64
	cpu        time.Duration
	took       time.Duration
}

// Run measures and prints a line for each number of boxes.
func (b *Bench) Run(ctx context.Context) error {
	tw := tabwriter.NewWriter(b.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "boxes\tin force p50 ms\tworst ms\trest: calls/s a box\tbytes/s a box\tcpu % a box\tchange: calls a box\tbytes a box\tcpu ms a box\theap MB a box\t")
	for _, n := range b.Boxes {
		fmt.Fprintf(b.Progress, "%d boxes\n", n)
		line, err := b.one(ctx, n)
		if err != nil {
			return fmt.Errorf("%d boxes: %w", n, err)
		}
		fmt.Fprintln(tw, line)
	}
	return tw.Flush()
}

// one measures one number of boxes.
func (b *Bench) one(ctx context.Context, n int) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{bench: b}
	r.group, ctx = errgroup.WithContext(ctx)
	runtime.GC()
	before := resources.Memory()
	if err := r.start(ctx, n); err != nil {
		return "", err
	}
	text := fleetText(b.Servers, 0)
	operator := r.operator()
	if _, err := operator.Apply(text, "bench", 0); err != nil {
		return "", err
	}
	if err := r.inForce(1); err != nil {
		return "", err
	}
	<-b.Clock.After(settle)
	rest := r.watch(func() { <-b.Clock.After(b.Rest) })
	runtime.GC()
	held := resources.Memory() - before
	times, change, err := r.changes(operator)
	if err != nil {
		return "", err
	}
	cancel()
	if err := r.group.Wait(); err != nil {
		return "", err
	}
	return row(n, b.Applies, times, rest, change, held), nil
}

// changes applies one configuration after another and times each.
func (r *run) changes(operator *configstore.Store) (times []time.Duration, c cost, err error) {
	b := r.bench
	c = r.watch(func() {
		for i := range b.Applies {
			r.strike(i)
			began := b.Clock.Now()
			var version uint64
			version, err = operator.Apply(fleetText(b.Servers, i+1), "bench", uint64(i+1))
			if err != nil {
				return
			}
			if err = r.inForce(version); err != nil {
				return
			}
			times = append(times, b.Clock.Since(began))
		}
	})
	return times, c, err
}

// strike causes the fault of the run, at a third of the applies.
func (r *run) strike(i int) {
	if i != r.bench.Applies/3 {
		return
	}
	switch r.bench.Fault {
	case "box-dies":
		// A watcher dies: those that wait at it change over.
		victim := r.firstWatcher()
		r.stops[victim]()
		r.controllers[victim] = nil
	case "link-stalls":
		r.links[r.firstWatcher()].stalled.Store(true)
	case "store-loses-answers":
		r.store.Faults.Set(fault.Setting{LoseAnswerEvery: 3})
	}
}

func (r *run) firstWatcher() int {
	for i, c := range r.controllers {
		if c != nil && c.Watching() {
			return i
		}
	}
	return 0
}

// start starts the stand-ins and n controllers.
func (r *run) start(ctx context.Context, n int) error {
	clock := r.bench.Clock
	r.store = &objectstore.Store{Clock: clock}
	list := &boxlist.Server{Clock: clock}
	storeLn, err := r.listen()
	if err != nil {
		return err
	}
	listLn, err := r.listen()
	if err != nil {
		return err
	}
	r.storeAddr, r.listAddr = storeLn.Addr().String(), listLn.Addr().String()
	r.group.Go(func() error { return r.store.Run(ctx, storeLn) })
	r.group.Go(func() error { return list.Run(ctx, listLn) })
	var boxes []platform.Box
	for i := range n {
		ln, err := r.listen()
		if err != nil {
			return err
		}
		r.links = append(r.links, ln)
		boxes = append(boxes, platform.Box{
			Name: fmt.Sprintf("box-%03d", i), FailureDomain: fmt.Sprintf("d%d", i%domains),
			Role: platform.RoleEntry, State: platform.StateLive, Control: ln.Addr().String(),
		})
	}
	list.Set(boxes)
	for i, b := range boxes {
		r.startController(ctx, b, r.links[i])
	}
	return nil
}

func (r *run) startController(ctx context.Context, b platform.Box, ln net.Listener) {
	clock := r.bench.Clock
	registry := metrics.NewRegistry()
	api := &objectapi.Client{Addr: r.storeAddr, Clock: clock, Metrics: registry}
	api.Prepare()
	boxes := &platform.Client{Addr: r.listAddr, Clock: clock}
	boxes.Prepare()
	c := &controller.Controller{
		Box: b.Name, Domain: b.FailureDomain, API: api, Boxes: boxes, Clock: clock,
		Metrics: registry, Journal: journal.New(journalSize), Logger: logging.Discard(),
	}
	own, stop := context.WithCancel(ctx)
	r.stops = append(r.stops, stop)
	r.controllers = append(r.controllers, c)
	c.Prepare()
	r.group.Go(func() error { return c.Run(own, ln) })
}

func (r *run) listen() (*listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &listener{Listener: ln, traffic: &r.traffic}, nil
}

// operator is the store as dalebendctl uses it.
func (r *run) operator() *configstore.Store {
	api := &objectapi.Client{Addr: r.storeAddr, Clock: r.bench.Clock, Reads: operatorCap, Writes: operatorCap}
	api.Prepare()
	return &configstore.Store{API: api, Clock: r.bench.Clock}
}

// inForce waits until every controller that lives has a version.
func (r *run) inForce(version uint64) error {
	clock := r.bench.Clock
	began := clock.Now()
	for clock.Since(began) < applyLimit {
		behind := slices.ContainsFunc(r.controllers, func(c *controller.Controller) bool {
			return c != nil && c.Version() < version
		})
		if !behind {
			return nil
		}
		<-clock.After(pollEvery)
	}
	return fmt.Errorf("version %d is not in force everywhere after %s", version, applyLimit)
}

// watch returns what was used while something ran.
func (r *run) watch(during func()) cost {
	clock := r.bench.Clock
	calls, writes := r.calls()
	bytes := r.traffic.bytes.Load()
	cpu := resources.ProcessTime()
	began := clock.Now()
	during()
	laterCalls, laterWrites := r.calls()
	return cost{
		storeCalls: float64(laterCalls - calls),
		writes:     float64(laterWrites - writes),
		bytes:      float64(r.traffic.bytes.Load() - bytes),
		cpu:        resources.ProcessTime() - cpu,
		took:       clock.Since(began),
	}
}

func (r *run) calls() (all, writes int64) {
	s := r.store.Stats()
	return s.Reads + s.Writes + s.Watches, s.Writes
}

// row prints the figures of one number of boxes. What a change costs is what the
// changes used beyond what the same time at rest would have.
func row(n, applies int, times []time.Duration, rest, change cost, held uint64) string {
	slices.Sort(times)
	boxes := float64(n)
	seconds := rest.took.Seconds()
	ratio := change.took.Seconds() / seconds
	each := float64(applies) * boxes
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	cells := []string{
		fmt.Sprint(n),
		fmt.Sprintf("%.1f", ms(times[len(times)/2])),
		fmt.Sprintf("%.1f", ms(times[len(times)-1])),
		fmt.Sprintf("%.3f", rest.storeCalls/seconds/boxes),
		fmt.Sprintf("%.0f", rest.bytes/seconds/boxes),
		fmt.Sprintf("%.3f", 100*rest.cpu.Seconds()/seconds/boxes),
		fmt.Sprintf("%.2f", (change.storeCalls-rest.storeCalls*ratio)/each),
		fmt.Sprintf("%.0f", (change.bytes-rest.bytes*ratio)/each),
		fmt.Sprintf("%.2f", 1000*(change.cpu.Seconds()-rest.cpu.Seconds()*ratio)/each),
		fmt.Sprintf("%.2f", float64(held)/(1<<20)/boxes),
	}
	return strings.Join(cells, "\t") + "\t"
}
