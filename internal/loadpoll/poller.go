// Package loadpoll polls engines whose last load report is stale.
//
// Engines attach load reports to their responses, so an engine that this box used
// recently needs no poll. Polls per round are limited; the oldest reports go first.
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

const maxPollsPerRound = 16

// scheduler lists stale reports and receives new ones.
type scheduler interface {
	Stale(age time.Duration) []*fleet.BackendServer
	Hear(server string, r occupancy.Report, draining bool)
}

// engines fetches load reports.
type engines interface {
	Load(server, addr string) (engineclient.Load, error)
}

// Poller polls engines periodically. Set the exported fields before Run.
type Poller struct {
	// Scheduler lists the servers with stale reports and receives new reports.
	Scheduler scheduler
	// Engines fetches the reports.
	Engines engines
	Clock   clockwork.Clock
	// Every is the age at which a report is stale, and the interval between rounds.
	Every time.Duration
	// Metrics counts polls and failed polls.
	Metrics metrics.Registry
}

// Run polls at once and then at each interval until ctx is done.
func (p *Poller) Run(ctx context.Context) {
	periodic.RunNow(ctx, p.Clock, p.Every, p.round)
}

// round polls up to maxPollsPerRound engines with stale reports in parallel.
func (p *Poller) round() {
	stale := p.Scheduler.Stale(p.Every)
	var wg sync.WaitGroup
	for _, b := range stale[:min(len(stale), maxPollsPerRound)] {
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
