// Package placement carries out the plans of package placementplan, for one service.
//
// The holder of the service's lease reads the state of its engines, plans a round and sends the
// orders, each with the lease's fencing token. Engines that check it refuse a former holder by
// themselves, so orders to them may continue while the store is unavailable. Engines that don't
// check it get an order only under a live lease that outlasts the order, one at a time, with the
// state read before and after, and a new holder first waits out the longest time that an order of
// the former one may take.
//
// Each round starts from the state that engines report, so a late or duplicate order is at worst
// undone by a later round.
package placement

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/lease"
	"github.com/dalebend/dalebend/internal/periodic"
	"github.com/dalebend/dalebend/internal/placementplan"
)

const (
	// maxOrderTime is the longest time that an order may be in transit.
	maxOrderTime = 3 * time.Second
	// maxConcurrentReads bounds the concurrent state requests.
	maxConcurrentReads = 32
	// defaultLoadsAtOnce is how many loads share the weight store's bandwidth.
	defaultLoadsAtOnce = 2
	defaultSettle      = time.Minute
	// defaultPressure keeps small differences of demand from moving models.
	defaultPressure = 3
)

// engines sends orders and state requests to engines.
type engines interface {
	State(server, addr string) (engineclient.State, error)
	Order(server, addr string, o engineclient.Order) error
}

// Reconciler places the models of one service. Set the exported fields before Run.
type Reconciler struct {
	// Service is the generation service.
	Service string
	// Lease is the service's lease as seen by this box.
	Lease *lease.Lease
	// Engines sends orders.
	Engines engines
	// Fleet returns the current snapshot; nil before the first.
	Fleet func() *fleet.Snapshot
	// Demand returns the waiting and running work by model, over all boxes.
	Demand func() map[string]float64
	// Leaving reports whether the platform is removing a backend server.
	Leaving func(server string) bool
	// Eligible reports whether this box should contend for the lease.
	Eligible func() bool
	// Limits bound a round; the zero value takes defaults.
	Limits placementplan.Limits
	// Clock is the time source.
	Clock clockwork.Clock
	// Journal, Metrics and Logger record lease changes and orders.
	Journal *journal.Journal
	Metrics metrics.Registry
	Logger  *slog.Logger

	held           bool
	leaseChangedAt time.Time
	lastOrder      map[string]time.Time
}

// Run contends for the lease and reconciles until ctx ends.
func (d *Reconciler) Run(ctx context.Context) {
	d.lastOrder = make(map[string]time.Time)
	if d.Limits == (placementplan.Limits{}) {
		d.Limits = placementplan.Limits{LoadsAtOnce: defaultLoadsAtOnce, SettleTime: defaultSettle, PressureRatio: defaultPressure}
	}
	periodic.RunNow(ctx, d.Clock, d.Lease.Every(), func() {
		if d.Eligible() || d.Lease.Held() {
			d.Step()
		}
	})
}

// Step renews or takes the lease and, as its holder, runs one round.
func (d *Reconciler) Step() {
	err := d.Lease.Step()
	d.recordLeaseChange(err)
	snap := d.Fleet()
	if snap == nil || !d.Lease.Held() && !d.Lease.Lapsed() {
		return
	}
	d.round(snap)
}

// recordLeaseChange records that the lease was taken or lost.
func (d *Reconciler) recordLeaseChange(err error) {
	held := d.Lease.Held()
	if held == d.held {
		return
	}
	d.held = held
	d.leaseChangedAt = d.Clock.Now()
	reason := fmt.Sprintf("%s taken, fence %d", d.Service, d.Lease.Fence())
	if !held {
		reason = fmt.Sprintf("%s gone, fence %d: %v", d.Service, d.Lease.Fence(), err)
	}
	d.Logger.Info("lease", "service", d.Service, "held", held, "fence", d.Lease.Fence())
	d.Journal.Record(journal.Event{At: d.leaseChangedAt, Kind: journal.Lease, Reason: reason})
}

// round reads the engines, plans and sends the orders.
func (d *Reconciler) round(snap *fleet.Snapshot) {
	service, ok := snap.Service(d.Service)
	if !ok {
		return
	}
	servers := service.Servers()
	seen := d.read(snap, servers)
	orders := placementplan.Plan(d.Clock.Now(), d.Limits, seen, d.models(snap, seen))
	for _, o := range orders {
		server, ok := snap.Server(o.Engine)
		if ok && d.mayOrder(server) {
			d.send(server, o)
		}
	}
}

// mayOrder reports whether an order may be sent to a server now.
func (d *Reconciler) mayOrder(server *fleet.BackendServer) bool {
	if server.ChecksFence() {
		return true
	}
	waited := d.Clock.Since(d.leaseChangedAt) >= maxOrderTime
	ok := d.held && waited && d.Lease.HeldFor(maxOrderTime)
	if !ok {
		d.count("placement.orders_withheld")
	}
	return ok
}

// send sends one order and, for a server that doesn't check fences, reads its state back before the
// next order.
func (d *Reconciler) send(server *fleet.BackendServer, o placementplan.Order) {
	id := uuid.NewString()
	d.count("placement.orders")
	err := d.Engines.Order(server.Name(), server.Address(), engineclient.Order{
		ID: id, Fence: d.Lease.Fence(), Op: string(o.Op), Model: o.Model,
	})
	reason := fmt.Sprintf("%s %s: %s", o.Op, o.Model, o.Reason)
	if err == nil && !server.ChecksFence() {
		state, stateErr := d.Engines.State(server.Name(), server.Address())
		if stateErr != nil || state.LastOrder != id {
			err = fmt.Errorf("the order is not the last one that the server took: %w", stateErr)
		}
	}
	if err != nil {
		d.count("placement.orders_failed")
		reason += fmt.Sprintf("; failed: %v", err)
	}
	d.lastOrder[server.Name()] = d.Clock.Now()
	d.Journal.Record(journal.Event{At: d.Clock.Now(), Kind: journal.Order, Server: server.Name(), Reason: reason})
}

// read reads the state of every engine.
func (d *Reconciler) read(snap *fleet.Snapshot, servers []*fleet.BackendServer) []*placementplan.Engine {
	out := make([]*placementplan.Engine, len(servers))
	slots := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for i, b := range servers {
		slots <- struct{}{}
		wg.Go(func() {
			out[i] = d.readOne(snap, b)
			<-slots
		})
	}
	wg.Wait()
	for _, e := range out {
		e.LastOrder = d.lastOrder[e.Name]
	}
	return out
}

func (d *Reconciler) readOne(snap *fleet.Snapshot, b *fleet.BackendServer) *placementplan.Engine {
	e := &placementplan.Engine{Name: b.Name(), Domain: b.FailureDomain(), Slots: b.ModelSlots()}
	for _, m := range b.Models() {
		e.Eligible = append(e.Eligible, snap.ModelKey(m))
	}
	state, err := d.Engines.State(b.Name(), b.Address())
	e.Usable = err == nil && !b.Draining() && !d.Leaving(b.Name())
	e.Holds, e.Loading = state.Models, state.Loading
	return e
}

// models returns the desired state: the configured version of each model at its floor, and older
// versions only until the configured one is loaded.
func (d *Reconciler) models(snap *fleet.Snapshot, seen []*placementplan.Engine) []*placementplan.Model {
	demand := d.Demand()
	var out []*placementplan.Model
	known := make(map[string]bool)
	for _, name := range snap.Models() {
		if snap.ModelService(name) != d.Service {
			continue
		}
		key := snap.ModelKey(name)
		known[key] = true
		floor := snap.ModelFloor(name)
		oldVersions := versions(seen, name, key)
		if len(oldVersions) == 0 {
			out = append(out, &placementplan.Model{Name: key, Floor: floor, Demand: demand[name]})
			continue
		}
		// During a rollout the new version replaces the old one on as many engines, of which one at
		// a time may hold neither, and at least the floor hold either.
		ready, all := holders(seen, key), replicas(seen, name)
		out = append(out, &placementplan.Model{Name: key, Floor: max(floor, all), Demand: demand[name]})
		for _, old := range oldVersions {
			known[old] = true
			out = append(out, &placementplan.Model{Name: old, Floor: max(0, floor-ready, all-ready-1), Retired: true})
		}
	}
	return append(out, unconfiguredModels(seen, known)...)
}

// holders counts the usable engines that hold a model.
func holders(seen []*placementplan.Engine, key string) int {
	n := 0
	for _, e := range seen {
		if e.Usable && slices.Contains(e.Holds, key) {
			n++
		}
	}
	return n
}

// replicas counts the usable engines that hold or load some version of a model.
func replicas(seen []*placementplan.Engine, name string) int {
	n := 0
	for _, e := range seen {
		some := slices.ContainsFunc(slices.Concat(e.Holds, e.Loading), func(held string) bool {
			base, _, _ := strings.Cut(held, "@")
			return base == name
		})
		if e.Usable && some {
			n++
		}
	}
	return n
}

// versions returns the other versions of a model that engines hold.
func versions(seen []*placementplan.Engine, name, wanted string) []string {
	var out []string
	for _, e := range seen {
		for _, held := range e.Holds {
			base, _, _ := strings.Cut(held, "@")
			if base == name && held != wanted && !slices.Contains(out, held) {
				out = append(out, held)
			}
		}
	}
	return out
}

// unconfiguredModels returns the models that engines hold and the configuration doesn't name.
func unconfiguredModels(seen []*placementplan.Engine, known map[string]bool) []*placementplan.Model {
	var out []*placementplan.Model
	for _, e := range seen {
		for _, held := range e.Holds {
			if !known[held] {
				known[held] = true
				out = append(out, &placementplan.Model{Name: held, Retired: true})
			}
		}
	}
	return out
}

func (d *Reconciler) count(name string) { metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1) }
