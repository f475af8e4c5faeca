// Package localrun is a whole fleet in one process: stand-ins for everything
// outside, a controller and one or two routers. It runs the same code as the
// separate programs and is for trying things out and for tests.
package localrun

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	platform "github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/configstore"
	"github.com/dalebend/dalebend/internal/controller"
	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/fleetfile"
	"github.com/dalebend/dalebend/internal/gateway"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/objectapi"
	"github.com/dalebend/dalebend/internal/peerrpc"
	"github.com/dalebend/dalebend/internal/router"
	"github.com/dalebend/dalebend/internal/standin/backends"
	"github.com/dalebend/dalebend/internal/standin/boxlist"
	"github.com/dalebend/dalebend/internal/standin/engine"
	"github.com/dalebend/dalebend/internal/standin/objectstore"
	"github.com/dalebend/dalebend/internal/standin/plain"
	"github.com/dalebend/dalebend/internal/tracing"
)

const (
	loadLag    = time.Second
	pollEvery  = time.Second
	applyTries = 20
	applyPause = 50 * time.Millisecond
)

// Local is one run. Set the exported fields before Run.
type Local struct {
	// Fleet is the text of the fleet file.
	Fleet []byte
	// Listen holds the address of each router; one box each.
	Listen []string
	// Admin is the address of the first router for operators; empty for none.
	Admin string
	// LeaseTerm is the term of leases; 0 takes the default.
	LeaseTerm time.Duration
	// Clock gives the time.
	Clock clockwork.Clock
	// Logger hears changes of state.
	Logger *slog.Logger
	// Tracer makes spans; nil makes none.
	Tracer *tracing.Tracer
	// Out is told when callers can be served.
	Out io.Writer

	group     *errgroup.Group
	file      *fleetfile.File
	engines   map[string]*engine.Engine
	plain     map[string]*plain.Server
	routers   []*router.Router
	addresses []string
	peers     []net.Listener
	store     *objectstore.Store
	objects   string
	boxes     string
}

// Engines returns the engine stand-ins by name; they are there after ready.
func (l *Local) Engines() map[string]*engine.Engine { return l.engines }

// Plain returns the plain stand-ins by name; they are there after ready.
func (l *Local) Plain() map[string]*plain.Server { return l.plain }

// Routers returns the routers; they are there after ready.
func (l *Local) Routers() []*router.Router { return l.routers }

// Addresses returns where each router serves callers.
func (l *Local) Addresses() []string { return l.addresses }

// Objects returns the stand-in for the object API.
func (l *Local) Objects() *objectstore.Store { return l.store }

// ObjectAPI returns where the stand-in for the object API serves.
func (l *Local) ObjectAPI() string { return l.objects }

// BoxList returns where the box list stand-in serves.
func (l *Local) BoxList() string { return l.boxes }

// Run serves until ctx ends. Ready, if not nil, is called when callers can be
// served.
func (l *Local) Run(ctx context.Context, ready func()) error {
	file, err := fleetfile.Parse(l.Fleet)
	if err != nil {
		return err
	}
	l.file = file
	l.engines = make(map[string]*engine.Engine)
	l.plain = make(map[string]*plain.Server)
	// Stand-ins and controllers outlive the routers, which finish their streams.
	outer, stopOuter := context.WithCancel(context.WithoutCancel(ctx))
	defer stopOuter()
	l.group, outer = errgroup.WithContext(outer)
	if err := l.startStandins(outer); err != nil {
		return err
	}
	if err := l.startPlatform(outer); err != nil {
		return err
	}
	routers, inner := errgroup.WithContext(ctx)
	if err := l.startBoxes(inner, routers); err != nil {
		return err
	}
	routers.Go(func() error {
		if err := l.waitReady(inner); err != nil {
			return err
		}
		l.announce()
		if ready != nil {
			ready()
		}
		return nil
	})
	err = routers.Wait()
	stopOuter()
	if outerErr := l.group.Wait(); err == nil {
		err = outerErr
	}
	return err
}

// startStandins starts a stand-in for each backend server.
func (l *Local) startStandins(ctx context.Context) error {
	set, err := backends.Start(ctx, l.group, l.file, l.Clock)
	if err != nil {
		return err
	}
	for _, e := range set.Engines {
		l.engines[e.Name] = e
	}
	for _, p := range set.Plain {
		l.plain[p.Name] = p
	}
	return nil
}

// startPlatform starts the object API and the box list, and applies the file.
func (l *Local) startPlatform(ctx context.Context) error {
	objectsLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the object API: %w", err)
	}
	boxesLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the box list: %w", err)
	}
	l.objects, l.boxes = objectsLn.Addr().String(), boxesLn.Addr().String()
	l.store = &objectstore.Store{Clock: l.Clock}
	l.group.Go(func() error { return l.store.Run(ctx, objectsLn) })
	return l.startBoxList(ctx, boxesLn)
}

func (l *Local) apply(ctx context.Context) error {
	text, err := fleetfile.Marshal(l.file)
	if err != nil {
		return err
	}
	api := &objectapi.Client{Addr: l.objects, Clock: l.Clock}
	api.Prepare()
	s := &configstore.Store{API: api, Clock: l.Clock}
	for try := 0; ; try++ {
		if _, err = s.Apply(text, "dalebend-local", 0); err == nil || try == applyTries {
			return err
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.Clock.After(applyPause):
		}
	}
}

// startBoxList starts the box list; startBoxes tells it of the boxes.
func (l *Local) startBoxList(ctx context.Context, ln net.Listener) error {
	list := &boxlist.Server{Clock: l.Clock}
	var boxes []platform.Box
	controls := make([]net.Listener, 0, len(l.Listen))
	for i := range l.Listen {
		control, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen for a controller: %w", err)
		}
		controls = append(controls, control)
		peers, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen for routers: %w", err)
		}
		l.peers = append(l.peers, peers)
		boxes = append(boxes, platform.Box{
			Name: boxName(i), FailureDomain: l.domain(i), Role: platform.RoleEntry, State: platform.StateLive,
			Control: control.Addr().String(), Router: peers.Addr().String(),
		})
	}
	list.Set(boxes)
	l.group.Go(func() error { return list.Run(ctx, ln) })
	if err := l.apply(ctx); err != nil {
		return fmt.Errorf("apply the fleet file: %w", err)
	}
	for i, control := range controls {
		l.startController(ctx, i, control)
	}
	return nil
}

func boxName(i int) string { return fmt.Sprintf("box-%d", i+1) }

// domain spreads boxes over the failure domains of the file.
func (l *Local) domain(i int) string {
	var all []string
	for _, r := range l.file.Regions {
		all = append(all, r.FailureDomains...)
	}
	return all[i%len(all)]
}

func (l *Local) startController(ctx context.Context, i int, ln net.Listener) {
	api := &objectapi.Client{Addr: l.objects, Clock: l.Clock}
	api.Prepare()
	boxes := &platform.Client{Addr: l.boxes, Clock: l.Clock}
	boxes.Prepare()
	c := &controller.Controller{
		Box: boxName(i), Domain: l.domain(i), API: api, Boxes: boxes, Clock: l.Clock,
		Metrics: metrics.NewRegistry(), Journal: journal.New(1000), Logger: l.Logger.With("box", boxName(i)),
	}
	c.Engines = &engineclient.Client{Clock: l.Clock}
	c.Engines.Prepare()
	c.LeaseTerm = l.LeaseTerm
	c.Explained = func(request string, limit int) []journal.Event {
		return l.routers[i].Journal.Select(limit, func(e *journal.Event) bool {
			return request == "" || e.Request == request
		})
	}
	control := ln.Addr().String()
	l.group.Go(func() error { return c.Run(ctx, ln) })
	r := &router.Router{
		Box: boxName(i), Domain: l.domain(i), Yield: true,
		Controller: &peerrpc.Client{Addr: control, Clock: l.Clock}, PeerListener: l.peers[i],
		LoadLag: loadLag, PollEvery: pollEvery, Clock: l.Clock, Seed: uint64(i),
		Logger: l.Logger.With("box", boxName(i)), Tracer: l.Tracer,
		Gateway: gateway.Server{ResumeGrace: 500 * time.Millisecond},
	}
	r.Prepare()
	l.routers = append(l.routers, r)
}

// startBoxes starts the routers, which end with ctx.
func (l *Local) startBoxes(ctx context.Context, group *errgroup.Group) error {
	for i, addr := range l.Listen {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen for callers: %w", err)
		}
		var adminLn net.Listener
		if i == 0 && l.Admin != "" {
			if adminLn, err = net.Listen("tcp", l.Admin); err != nil {
				return fmt.Errorf("listen for operators: %w", err)
			}
		}
		l.addresses = append(l.addresses, ln.Addr().String())
		r := l.routers[i]
		group.Go(func() error { return r.Run(ctx, ln, adminLn) })
	}
	return nil
}

// waitReady waits until every router has the configuration.
func (l *Local) waitReady(ctx context.Context) error {
	for _, r := range l.routers {
		for r.Holder.Current() == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-l.Clock.After(applyPause):
			}
		}
	}
	return nil
}

// announce prints that callers can be served, and a command that shows it.
func (l *Local) announce() {
	if l.Out == nil {
		return
	}
	fmt.Fprintf(l.Out, "dalebend-local: ready on http://%s, object API %s, box list %s\n",
		strings.Join(l.addresses, " and http://"), l.objects, l.boxes)
	snap := l.routers[0].Holder.Current()
	if len(snap.Models()) == 0 {
		return
	}
	key := exampleKey(snap)
	fmt.Fprintf(l.Out, "try: curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"%s\",\"prompt\":\"Draft a notice of a new weekend rate.\",\"stream\":true}'\n",
		l.addresses[0], key, snap.Models()[0])
}

// exampleKey returns a key of the example files that is accepted, of the account
// that is served first.
func exampleKey(snap *fleet.Snapshot) string {
	key := "YOUR-KEY"
	best := math.MaxInt
	for _, name := range snap.AccountNames() {
		a, ok := snap.Account([]byte("dev-" + name))
		if ok && a.Priority() < best {
			key, best = "dev-"+name, a.Priority()
		}
	}
	return key
}
