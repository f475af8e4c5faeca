package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/control"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/fleetdelta"
	"github.com/dalebend/dalebend/internal/lease"
	"github.com/dalebend/dalebend/internal/placement"
)

const (
	// contenders is how many boxes try for one lease: its owner by hash, and one
	// that takes over when the owner is dead but still listed.
	contenders = 2
	// demandSample bounds the boxes that are asked for their demand.
	demandSample = 16
	demandTime   = time.Second
)

// placer places the models of every generation service, under one lease each.
type placer struct {
	controller *Controller

	mu      sync.Mutex
	snap    *fleet.Snapshot
	drivers map[string]context.CancelFunc
	demand  map[string]float64
}

// take starts and stops drivers as services come and go.
func (p *placer) take(ctx context.Context, state *fleetdelta.State) {
	file, err := state.File()
	if err != nil {
		return
	}
	snap := fleet.New(state.Version(), file)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snap = snap
	for name := range p.drivers {
		if s, ok := snap.Service(name); !ok || s.Plain() {
			p.drivers[name]()
			delete(p.drivers, name)
		}
	}
	for _, name := range snap.ServiceNames() {
		s, _ := snap.Service(name)
		if s.Plain() || p.drivers[name] != nil {
			continue
		}
		run, stop := context.WithCancel(ctx)
		p.drivers[name] = stop
		go p.driver(name).Run(run)
	}
}

func (p *placer) current() *fleet.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snap
}

func (p *placer) driver(service string) *placement.Reconciler {
	c := p.controller
	return &placement.Reconciler{
		Service:  service,
		Lease:    &lease.Lease{Name: service, Box: c.Box, API: c.API, Clock: c.Clock, Term: c.LeaseTerm},
		Engines:  c.Engines,
		Fleet:    p.current,
		Demand:   p.total,
		Leaving:  func(server string) bool { return slices.Contains(c.members.current().Leaving, server) },
		Eligible: func() bool { return c.members.contends(service) },
		Clock:    c.Clock,
		Journal:  c.Journal,
		Metrics:  c.Metrics,
		Logger:   c.Logger,
	}
}

// hear takes what this box's router has to do, by model.
func (p *placer) hear(demand map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand = demand
}

func (p *placer) own() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand
}

// total asks a sample of the boxes for their demand and scales it up to all.
func (p *placer) total() map[string]float64 {
	c := p.controller
	boxes := c.members.live()
	sum := make(map[string]float64)
	answered := 0
	for _, b := range sampleOf(boxes, demandSample, c.Clock.Now()) {
		demand := p.own()
		if b.Name != c.Box {
			reply := &control.DemandReply{}
			client := c.peers.claimClient(b.Control)
			if client.Call(context.Background(), control.MethodDemand, &control.DemandArgs{}, reply, demandTime) != nil {
				continue
			}
			demand = reply.Demand
		}
		answered++
		for model, n := range demand {
			sum[model] += n
		}
	}
	for model := range sum {
		sum[model] *= float64(max(len(boxes), 1)) / float64(max(answered, 1))
	}
	return sum
}

// sampleOf returns at most n of the boxes, others at each time.
func sampleOf(boxes []boxlist.Box, n int, now time.Time) []boxlist.Box {
	if len(boxes) <= n {
		return boxes
	}
	out := make([]boxlist.Box, 0, n)
	start := int(now.UnixNano() / int64(time.Millisecond) % int64(len(boxes)))
	for i := range n {
		out = append(out, boxes[(start+i*len(boxes)/n)%len(boxes)])
	}
	return out
}
