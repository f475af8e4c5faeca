package schedule

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/fairqueue"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/hashring"
	"github.com/dalebend/dalebend/internal/health"
	"github.com/dalebend/dalebend/internal/invariant"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/occupancy"
	"github.com/dalebend/dalebend/internal/route"
	"github.com/dalebend/dalebend/internal/subset"
)

// SetFleet replaces the snapshot. Engines keep their estimated state as long as their name stays;
// waiting jobs choose among the engines of the new one.
func (s *Scheduler) SetFleet(snap *fleet.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.fleet != nil {
		invariant.Check(snap.Version() >= s.fleet.Version(), "version-rises",
			"snapshot %d after %d", snap.Version(), s.fleet.Version())
	}
	first := s.fleet == nil
	s.fleet = snap
	s.lowestPriority = snap.LowestPriority()
	s.setEngines(snap, now, first)
	s.setModels(snap)
	s.dealEngines()
	s.dispatch(now, nil)
}

func (s *Scheduler) setEngines(snap *fleet.Snapshot, now time.Time, first bool) {
	// In the order of names, so that a seed always draws the same numbers.
	for _, name := range slices.Sorted(maps.Keys(snap.Servers())) {
		server, _ := snap.Server(name)
		if server.KVTokens() == 0 {
			continue
		}
		if e := s.engines[name]; e != nil {
			e.SetServer(server)
			continue
		}
		since := now
		if first {
			// To a box that starts all engines are new, so that a slow start would have no effect
			// but delay.
			since = time.Time{}
		}
		e := &route.Engine{Engine: occupancy.NewEngine(server, s.rng, &s.shape, &s.lag), Health: health.New(since)}
		s.engines[name] = e
	}
	for name, e := range s.engines {
		if _, ok := snap.Server(name); !ok {
			// Streams that still run there end by themselves.
			delete(s.engines, name)
			e.SetDraining(true)
		}
	}
}

func (s *Scheduler) setModels(snap *fleet.Snapshot) {
	for _, name := range snap.Models() {
		m := s.models[name]
		if m == nil {
			m = &modelState{name: name}
			s.models[name] = m
		}
		m.queue.StarvationBound = snap.StarvationBound()
		servers, _ := snap.ModelServers(name)
		engines := make([]*route.Engine, 0, len(servers))
		for _, server := range servers {
			if e := s.engines[server.Name()]; e != nil {
				engines = append(engines, e)
			}
		}
		m.allEngines = newRing(engines)
		m.dealtEngines = m.allEngines
	}
	for name, m := range s.models {
		if _, ok := snap.ModelServers(name); ok {
			continue
		}
		m.queue.Each(func(e *fairqueue.Entry[*waiter]) bool {
			s.refuse(m, e, &Refusal{reason: UnknownModel})
			return true
		})
		delete(s.models, name)
	}
}

func newRing(engines []*route.Engine) *hashring.Ring[*route.Engine] {
	return hashring.New(engines, func(e *route.Engine) string { return e.Server().Name() })
}

// dealEngines selects the engines that this box uses. If none of a model's engines is dealt to this
// box, it keeps all of them.
func (s *Scheduler) dealEngines() {
	members := make([]subset.Member, 0, len(s.engines))
	for name, e := range s.engines {
		speed := float64(e.Server().KVTokens()) / e.Server().DecodeStep().Seconds()
		members = append(members, subset.Member{Name: name, Capacity: speed})
	}
	if s.WholeFleet {
		s.dealtNames = nil
		return
	}
	dealt := subset.Assign(members, s.boxes, s.Box)
	s.dealtNames = make(map[string]bool, len(dealt))
	for name, e := range s.engines {
		e.Part = dealt[name]
		if e.Part > 0 {
			s.dealtNames[name] = true
		}
		if e.Part == 0 {
			// Not dealt to this box: any box may use it as an exception.
			e.Part = 1 / float64(len(s.boxes))
		}
	}
	for _, m := range s.models {
		own := slices.DeleteFunc(slices.Clone(m.allEngines.Members()), func(e *route.Engine) bool {
			return !s.dealtNames[e.Server().Name()]
		})
		m.dealtEngines = m.allEngines
		if len(own) > 0 {
			m.dealtEngines = newRing(own)
		}
	}
}

// Hear takes a load report of a backend server.
func (s *Scheduler) Hear(server string, r occupancy.Report, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[server]
	if e == nil {
		return
	}
	now := s.Clock.Now()
	if draining && !e.Draining() {
		s.record(now, journal.Leaving, nil, server, "backend server says so")
	}
	e.SetDraining(draining)
	t := s.terms(now, 0)
	t.BoxShare = e.Part
	t.SingleBox = len(s.boxes) == 1
	e.ApplyReport(r, s.LoadLag, s.typicalCurve(e), t)
	s.dispatch(now, e)
}

// SetLeaving records whether the box list names a backend server as leaving.
func (s *Scheduler) SetLeaving(server string, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[server]
	if e == nil {
		return
	}
	if leaving && !e.Draining() {
		s.record(s.Clock.Now(), journal.Leaving, nil, server, "box list says so")
	}
	e.SetLeaving(leaving)
}

// usable returns a function that reports whether an engine accepts new work. Failing engines are
// ejected, but not if that leaves fewer than half of those in use.
func (s *Scheduler) usable(m *modelState, ring *hashring.Ring[*route.Engine], now time.Time) func(*route.Engine) bool {
	out, inUse := 0, 0
	members := ring.Members()
	if len(members) <= maxCountedEngines {
		for _, e := range members {
			if e.Draining() || !e.Holds(m.name) {
				continue
			}
			inUse++
			if e.Out(now) {
				out++
			}
		}
	}
	tooMany := 2*out > inUse
	return func(e *route.Engine) bool {
		return !e.Draining() && e.Holds(m.name) && (tooMany || !e.Out(now)) && !s.hasOverduePause(now, e)
	}
}

// maxCountedEngines is the largest fleet in which ejected engines are counted for each decision; in
// a larger one ejections are too small a part to matter.
const maxCountedEngines = 64

// EstimatedTokens returns how many tokens of memory are estimated to be in use on an engine now. It
// returns false if the engine isn't dealt to this box, which then decides nothing there, or if this
// box runs nothing on it.
func (s *Scheduler) EstimatedTokens(server string) (tokens float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[server]
	if e == nil || e.InFlight() == 0 || !s.dealtNames[server] {
		return 0, false
	}
	return e.Tokens(s.Clock.Now()), true
}

// Stale returns the backend servers that this box uses and whose load report is older than age:
// first those without any report, then the oldest. It leaves out engines dealt to other boxes:
// polling 2,000 of them would alone exceed a box's budget.
func (s *Scheduler) Stale(age time.Duration) []*fleet.BackendServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	ages := make(map[*fleet.BackendServer]time.Duration)
	var out []*fleet.BackendServer
	for _, e := range s.engines {
		a, heard := e.ReportAge(now)
		if heard && a < age || len(s.dealtNames) > 0 && !s.dealtNames[e.Server().Name()] {
			continue
		}
		ages[e.Server()] = a
		out = append(out, e.Server())
	}
	slices.SortFunc(out, func(a, b *fleet.BackendServer) int {
		if ages[a] != ages[b] {
			return cmp.Compare(ages[b], ages[a])
		}
		return strings.Compare(a.Name(), b.Name())
	})
	return out
}
