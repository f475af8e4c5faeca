// Package schedule assigns engines to generations, queues them, or refuses them.
//
// Work waits here rather than in an engine: it can be reordered and uses no engine memory. It is
// assigned to an engine only at dispatch. Decisions are made under one lock, on events and on a
// tick; generated tokens are counted without it.
//
// Invariants: a job gets one result; each placement reserves an engine's capacity once and releases
// it once; no placement on a draining engine.
package schedule

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/dalebend/dalebend/internal/fairqueue"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/hashring"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/occupancy"
	"github.com/dalebend/dalebend/internal/outputlength"
	"github.com/dalebend/dalebend/internal/periodic"
	"github.com/dalebend/dalebend/internal/route"
)

const (
	// tick is the interval at which waiting jobs are examined if nothing else happens.
	tick = 10 * time.Millisecond
	// maxShare is the part of an engine's memory that priority 0 may fill by forecast; each lower
	// priority leaves shareStep more free.
	maxShare  = 0.98
	shareStep = 0.01
	// defaultDeviations is the default safety margin of the memory forecast.
	defaultDeviations = 3.5
	// minCare is the part of the safety margin that applies to priority 0.
	minCare = 0.5
)

// policy chooses an engine for a request; ok is false if the request should wait.
type policy interface {
	Choose(r *route.Request, v *route.View) (e *route.Engine, ok bool)
}

// engineControl pauses and resumes generations at their engine.
type engineControl interface {
	Pause(server, addr, generation string) error
	Unpause(server, addr, generation string) error
}

// Scheduler does admission, queueing and routing for one box. Set the exported fields before
// Prepare.
type Scheduler struct {
	Policy policy
	// Control pauses generations for preemption; nil disables it.
	Control engineControl
	// Lender asks other boxes for capacity on their engines; nil disables borrowing.
	Lender lender
	// WholeFleet lets this box use every engine without a loan, as the baseline policies do.
	WholeFleet bool
	Clock      clockwork.Clock
	// Journal, if set, receives each decision.
	Journal *journal.Journal
	// Metrics holds the counters of decisions.
	Metrics metrics.Registry
	// Box is the name of this box.
	Box string
	// Domain is the failure domain of this box.
	Domain string
	// LoadLag is the usual age of an engine's load report.
	LoadLag time.Duration
	// Deviations is the safety margin of the memory forecast, in standard deviations.
	Deviations float64
	// Seed seeds the random numbers.
	Seed uint64
	// TrueLength returns the actual length of an answer; only the oracle baseline sets it.
	TrueLength func(prompt string) int

	mu      sync.Mutex
	rng     *rand.Rand
	fleet   *fleet.Snapshot
	boxes   []string
	engines map[string]*route.Engine
	// dealtNames holds the engines that this box uses without a loan.
	dealtNames map[string]bool
	models     map[string]*modelState
	book       outputlength.Estimator
	shape      occupancy.RetentionCurve
	lag        occupancy.LagEstimator
	account    map[string]*accountState
	placed     map[*route.Engine]map[*Placement]struct{}
	stats      stats
	// loans holds the loans that this box granted, by id.
	loans    map[uint64]*lent
	lastLoan uint64
	stopped  bool
	// spawn runs a call to an engine or box concurrently; tests replace it.
	spawn func(func())
	// lowestPriority is the lowest priority of any account, which is the greatest number.
	lowestPriority int
	// preemptedAt is when a stream was last preempted.
	preemptedAt time.Time
}

// modelState holds the queue and the engines of one model. dealtEngines holds the engines dealt to
// this box, or all of them if none is; allEngines holds all.
type modelState struct {
	name         string
	queue        fairqueue.Queue[*waiter]
	dealtEngines *hashring.Ring[*route.Engine]
	allEngines   *hashring.Ring[*route.Engine]
	rate         rateMeter

	borrowing borrowState
}

type stats struct {
	placed, refused, paused, unpaused, ejected metrics.Counter
	asked, borrowed, lent                      metrics.Counter
	wait                                       metrics.Timer
}

// Prepare initializes the scheduler; it has no fleet yet.
func (s *Scheduler) Prepare() {
	if s.Deviations == 0 {
		s.Deviations = defaultDeviations
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	s.rng = rand.New(rand.NewPCG(s.Seed, s.Seed+1))
	s.boxes = []string{s.Box}
	if s.spawn == nil {
		s.spawn = func(f func()) { go f() }
	}
	s.engines = make(map[string]*route.Engine)
	s.models = make(map[string]*modelState)
	s.account = make(map[string]*accountState)
	s.loans = make(map[uint64]*lent)
	s.placed = make(map[*route.Engine]map[*Placement]struct{})
	s.stats = stats{
		placed:   metrics.GetOrRegisterCounter("schedule.placed", s.Metrics),
		refused:  metrics.GetOrRegisterCounter("schedule.refused", s.Metrics),
		paused:   metrics.GetOrRegisterCounter("schedule.pushed_aside", s.Metrics),
		unpaused: metrics.GetOrRegisterCounter("schedule.continued", s.Metrics),
		ejected:  metrics.GetOrRegisterCounter("schedule.ejected", s.Metrics),
		asked:    metrics.GetOrRegisterCounter("schedule.loans_asked", s.Metrics),
		borrowed: metrics.GetOrRegisterCounter("schedule.loans_used", s.Metrics),
		lent:     metrics.GetOrRegisterCounter("schedule.loans_given", s.Metrics),
		wait:     metrics.GetOrRegisterTimer("schedule.wait", s.Metrics),
	}
}

// Run examines waiting jobs on each tick until ctx ends, then refuses those that wait.
func (s *Scheduler) Run(ctx context.Context) {
	periodic.Run(ctx, s.Clock, tick, s.Tick)
	s.stop()
}

// Tick expires jobs and loans, resumes paused streams and dispatches, once. Run and tests call it.
func (s *Scheduler) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.expire(now)
	s.expireLoans(now)
	s.resumePaused(now)
	s.dispatch(now, nil)
}

// SetBoxes sets the names of the live boxes. This box always counts as live.
func (s *Scheduler) SetBoxes(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes = slices.Clone(names)
	if !slices.Contains(s.boxes, s.Box) {
		s.boxes = append(s.boxes, s.Box)
	}
	if s.fleet != nil {
		s.dealEngines()
	}
}

// Preemptions returns how many times this box has preempted a stream.
func (s *Scheduler) Preemptions() int64 { return s.stats.paused.Count() }

// Demand returns the number of waiting and running generations on this box, by model.
func (s *Scheduler) Demand() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]float64, len(s.models))
	for name, m := range s.models {
		out[name] = float64(m.queue.Len())
	}
	for _, placed := range s.placed {
		for p := range placed {
			out[p.waiter.key.Model]++
		}
	}
	return out
}

// terms returns the limits of a placement decision for a priority.
func (s *Scheduler) terms(now time.Time, priority int) occupancy.FitLimits {
	return occupancy.FitLimits{
		Now:              now,
		MarginDeviations: s.Deviations,
		MarginFactor:     minCare + (1-minCare)*float64(priority)/float64(max(s.lowestPriority, 1)),
		MemoryLimit:      maxShare - shareStep*float64(priority),
		CommonLimit:      maxShare - shareStep*float64(s.lowestPriority),
	}
}

// record writes a decision to the journal.
func (s *Scheduler) record(now time.Time, kind journal.Kind, job *Job, server, reason string) {
	if s.Journal == nil {
		return
	}
	e := journal.Event{At: now, Kind: kind, Server: server, Reason: reason}
	if job != nil {
		e.Request = job.Request
		e.Account = job.Account.Name()
	}
	s.Journal.Record(e)
}

func (s *Scheduler) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, m := range s.models {
		m.queue.Each(func(e *fairqueue.Entry[*waiter]) bool {
			s.refuse(m, e, &Refusal{reason: Stopping, retryAfter: time.Second})
			return true
		})
	}
}
