// Package loadpoll asks engines for their load when nothing was heard of them.
//
// Load reports come with the answers to generations; an engine that this box has
// used lately needs no poll. The number of polls is bounded, oldest news first.
package loadpoll

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/occupancy"
	"github.com/dalebend/dalebend/internal/periodic"
)

// perRound bounds the polls of one round.
const perRound = 16

// scheduler wants load reports.
type scheduler interface {
	Stale(age time.Duration) []*fleet.BackendServer
	Hear(server string, r occupancy.Report, draining bool)
}

// engines gives load reports.
type engines interface {
	Load(server, addr string) (engineclient.Load, error)
}

// Poller polls until its context ends. Set the exported fields before Run.
type Poller struct {
	// Scheduler says whose report is old, and hears new ones.
	Scheduler scheduler
	// Engines gives the reports.
	Engines engines
	// Clock gives the time.
	Clock clockwork.Clock
	// Every is the age from which a report is old, and the time between rounds.
	Every time.Duration
	// Metrics counts polls.
	Metrics metrics.Registry
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	periodic.RunNow(ctx, p.Clock, p.Every, p.round)
}

// round polls the engines whose report is old.
func (p *Poller) round() {
	stale := p.Scheduler.Stale(p.Every)
	var wg sync.WaitGroup
	for _, b := range stale[:min(len(stale), perRound)] {
		wg.Go(func() {
			metrics.GetOrRegisterCounter("loadpoll.polls", p.Metrics).Inc(1)
			l, err := p.Engines.Load(b.Name(), b.Address())
			if err != nil {
				metrics.GetOrRegisterCounter("loadpoll.failures", p.Metrics).Inc(1)
				return
			}
			p.Scheduler.Hear(b.Name(), occupancy.Report{
				Running: l.Running, Waiting: l.Waiting, KVUsed: l.KVUsed, KVTotal: l.KVTotal,
				Preemptions: l.Preemptions, Sample: l.Sample, Models: l.Models,
			}, l.Draining)
		})
	}
	wg.Wait()
}
