package schedule

import (
	"time"

	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/occupancy"
	"github.com/dalebend/dalebend/internal/route"
)

// Outcome is how a placed generation ended.
type Outcome uint8

const (
	// Finished means that the engine completed the answer.
	Finished Outcome = iota
	// Failed means that the backend server broke off the answer or was unreachable.
	Failed
	// Declined means that the backend server answered that it did not start the generation.
	Declined
	// Cancelled means that the caller went away or the box gave up the generation.
	Cancelled
)

// Placement is a generation with an engine. Exactly one call of End releases the engine's capacity.
type Placement struct {
	scheduler  *Scheduler
	engine     *route.Engine
	server     *fleet.BackendServer
	waiter     *waiter
	stream     *occupancy.Stream
	generation string
	ended      bool
	// lender and loan identify the loan, if another box granted the capacity.
	lender string
	loan   uint64
	// pausing is set while a pause request is in flight; pausedAt is when the engine paused.
	pausing  bool
	pausedAt time.Time
}

// Server returns the backend server as it was at placement.
func (p *Placement) Server() *fleet.BackendServer { return p.server }

// SetGeneration sets the engine's id of the generation, by which it can be preempted.
func (p *Placement) SetGeneration(generation string) {
	p.scheduler.mu.Lock()
	defer p.scheduler.mu.Unlock()
	p.generation = generation
}

// Progress records n more generated tokens. It takes no lock.
func (p *Placement) Progress(n int) { p.stream.Progress(n) }

// End releases the capacity and updates forecasts and health by the outcome.
func (p *Placement) End(how Outcome) { p.scheduler.end(p, how) }
