// Package placementplan decides which engine loads or unloads which model next.
//
// Plan is a pure function of the engines with the models that they hold, the models with their
// floors and demand, and a time. One round gives few orders; the next round sees their results.
// Models below their floor come first, by priority; then the model with the highest demand per
// engine may take an engine from the one with the lowest; an engine that holds nothing is given a
// model.
//
// Invariants: no order takes a model below its floor; an engine gets at most one order a
// round and none while it loads; concurrent loads never exceed the bound that the weight store's
// bandwidth sets.
package placementplan

import (
	"cmp"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/invariant"
)

// Op is an operation that an engine is ordered to do.
type Op string

// Operations.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Limits bound a round.
type Limits struct {
	// LoadsAtOnce bounds concurrent loads, which share the weight store's bandwidth.
	LoadsAtOnce int
	// SettleTime is the delay after a change before demand (not a floor) may change the engine
	// again.
	SettleTime time.Duration
	// PressureRatio is the minimum ratio of demand per engine between the model that takes an
	// engine and the one that gives it up.
	PressureRatio float64
}

// Engine is the observed state of one engine.
type Engine struct {
	Name   string
	Domain string
	// Slots is how many models it can hold at once.
	Slots int
	// Holds and Loading name models; Eligible names those that it may be ordered to hold.
	Holds    []string
	Loading  []string
	Eligible []string
	// Usable is false for an engine that is gone, failing or leaving.
	Usable bool
	// LastOrder is the time of the last order to it.
	LastOrder time.Time
}

// Model is the desired state of one model.
type Model struct {
	Name string
	// Floor is the minimum number of usable engines that hold it.
	Floor int
	// Priority is that of the most important account that uses it.
	Priority int
	// Demand is the waiting and running work, in the same unit for all models.
	Demand float64
	// Retired models are unloaded as soon as floors allow.
	Retired bool
}

// Order is one operation for an engine.
type Order struct {
	Engine string
	Op     Op
	Model  string
	Reason string
}

// round is the state of one call of Plan.
type round struct {
	now     time.Time
	limits  Limits
	engines []*Engine
	models  []*Model
	held    map[string]int
	loading map[string]int
	ordered map[string]bool
	loads   int
	orders  []Order
}

// Plan returns the orders of one round.
func Plan(now time.Time, limits Limits, engines []*Engine, models []*Model) []Order {
	r := &round{
		now: now, limits: limits, engines: engines, models: models,
		held: make(map[string]int), loading: make(map[string]int), ordered: make(map[string]bool),
	}
	for _, e := range engines {
		r.loads += len(e.Loading)
		if !e.Usable {
			continue
		}
		for _, m := range e.Holds {
			r.held[m]++
		}
		for _, m := range e.Loading {
			r.loading[m]++
		}
	}
	r.repairFloors()
	r.retire()
	r.followDemand()
	r.fillEmpty()
	return r.orders
}

// repairFloors loads models that are below their floor.
func (r *round) repairFloors() {
	belowFloor := slices.DeleteFunc(slices.Clone(r.models), func(m *Model) bool {
		return m.Retired || r.held[m.Name]+r.loading[m.Name] >= m.Floor
	})
	slices.SortStableFunc(belowFloor, func(a, b *Model) int {
		if a.Priority != b.Priority {
			return cmp.Compare(a.Priority, b.Priority)
		}
		return cmp.Compare(r.held[a.Name]-a.Floor, r.held[b.Name]-b.Floor)
	})
	for _, m := range belowFloor {
		for r.held[m.Name]+r.loading[m.Name] < m.Floor && r.load(m, "below its floor", 0) {
			continue
		}
	}
}

// retire unloads retired models.
func (r *round) retire() {
	for _, m := range r.models {
		if !m.Retired {
			continue
		}
		for _, e := range r.engines {
			if r.canUnload(e, m, 0) {
				r.order(e, Unload, m.Name, "retired")
			}
		}
	}
}

// followDemand moves one engine from the model with the lowest pressure to the one with the
// highest.
func (r *round) followDemand() {
	wanted := slices.DeleteFunc(slices.Clone(r.models), func(m *Model) bool { return m.Retired })
	if len(wanted) < 2 {
		return
	}
	slices.SortStableFunc(wanted, func(a, b *Model) int { return cmp.Compare(r.pressure(b), r.pressure(a)) })
	taker := wanted[0]
	giver := wanted[len(wanted)-1]
	if r.pressure(taker) <= r.limits.PressureRatio*max(r.pressure(giver), 1) || r.loading[taker.Name] > 0 {
		return
	}
	r.load(taker, "pressed by demand", r.limits.SettleTime)
}

// fillEmpty gives engines that hold nothing the eligible model with the highest pressure.
func (r *round) fillEmpty() {
	for _, e := range r.engines {
		if len(e.Holds) > 0 || !r.idle(e, 0) || r.loads >= r.limits.LoadsAtOnce {
			continue
		}
		var best *Model
		for _, m := range r.models {
			if r.canLoad(e, m, 0) && !m.Retired && (best == nil || r.pressure(m) > r.pressure(best)) {
				best = m
			}
		}
		if best != nil {
			r.order(e, Load, best.Name, "held nothing")
			r.loading[best.Name]++
			r.loads++
		}
	}
}

// pressure is the demand per engine that holds or loads the model.
func (r *round) pressure(m *Model) float64 {
	return m.Demand / float64(max(1, r.held[m.Name]+r.loading[m.Name]))
}

// load orders some engine to load m, or else to free a slot for it. It reports whether a load was
// ordered.
func (r *round) load(m *Model, reason string, settle time.Duration) bool {
	if r.loads >= r.limits.LoadsAtOnce {
		return false
	}
	var best *Engine
	for _, e := range r.engines {
		if r.canLoad(e, m, settle) && (best == nil || r.prefers(e, best, m)) {
			best = e
		}
	}
	if best != nil {
		r.order(best, Load, m.Name, reason)
		r.loading[m.Name]++
		r.loads++
		return true
	}
	r.freeSlot(m, reason, settle)
	return false
}

// canLoad reports whether an engine has a free slot for a model.
func (r *round) canLoad(e *Engine, m *Model, settle time.Duration) bool {
	return r.idle(e, settle) && slices.Contains(e.Eligible, m.Name) &&
		!slices.Contains(e.Holds, m.Name) && len(e.Holds) < e.Slots
}

// idle reports whether an engine can get an order now.
func (r *round) idle(e *Engine, settle time.Duration) bool {
	return e.Usable && len(e.Loading) == 0 && !r.ordered[e.Name] && r.now.Sub(e.LastOrder) >= settle
}

// prefers orders engines by the fewest holders of the model in their failure domain, then by free
// slots.
func (r *round) prefers(a, b *Engine, m *Model) bool {
	if x, y := r.inDomain(a.Domain, m), r.inDomain(b.Domain, m); x != y {
		return x < y
	}
	if x, y := a.Slots-len(a.Holds), b.Slots-len(b.Holds); x != y {
		return x > y
	}
	return a.Name < b.Name
}

func (r *round) inDomain(domain string, m *Model) int {
	n := 0
	for _, e := range r.engines {
		if e.Usable && e.Domain == domain && (slices.Contains(e.Holds, m.Name) || slices.Contains(e.Loading, m.Name)) {
			n++
		}
	}
	return n
}

// freeSlot unloads the model of lowest pressure above its floor from an engine that is eligible for
// m. The load follows in a later round, when the slot is free.
func (r *round) freeSlot(m *Model, reason string, settle time.Duration) {
	var giver *Engine
	var given *Model
	for _, e := range r.engines {
		if !r.idle(e, settle) || !slices.Contains(e.Eligible, m.Name) || slices.Contains(e.Holds, m.Name) {
			continue
		}
		for _, other := range r.models {
			if other != m && r.canUnload(e, other, settle) && (given == nil || r.pressure(other) < r.pressure(given)) {
				giver, given = e, other
			}
		}
	}
	if given != nil {
		r.order(giver, Unload, given.Name, "makes room for "+m.Name+", "+reason)
	}
}

// canUnload reports whether an engine can unload a model without breaking its floor.
func (r *round) canUnload(e *Engine, m *Model, settle time.Duration) bool {
	return r.idle(e, settle) && slices.Contains(e.Holds, m.Name) && r.held[m.Name] > m.Floor
}

func (r *round) order(e *Engine, op Op, model, reason string) {
	invariant.Check(!r.ordered[e.Name], "one-order-an-engine", "%s twice in a round", e.Name)
	if op == Unload {
		r.held[model]--
		for _, m := range r.models {
			invariant.Check(m.Name != model || r.held[model] >= m.Floor, "model-floor",
				"%s would be held %d times, floor %d", model, r.held[model], m.Floor)
		}
	}
	r.ordered[e.Name] = true
	r.orders = append(r.orders, Order{Engine: e.Name, Op: op, Model: model, Reason: reason})
}
