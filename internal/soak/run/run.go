// Package run carries out one soak: it starts the boxes as processes and what they
// run beside, injects the faults of a seed, and checks what was seen.
package run

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/soak/backends"
	"github.com/dalebend/dalebend/internal/soak/bounds"
	"github.com/dalebend/dalebend/internal/soak/callers"
	"github.com/dalebend/dalebend/internal/soak/check"
	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/inject"
	"github.com/dalebend/dalebend/internal/soak/operator"
	"github.com/dalebend/dalebend/internal/soak/schedule"
	"github.com/dalebend/dalebend/platform/standin"
)

// Run is one soak. Set the exported fields before Do.
type Run struct {
	Seed uint64
	// Duration is the time in which faults happen.
	Duration time.Duration
	// Calm leaves out most faults; see schedule.DrawCalm.
	Calm bool
	// Boxes, Servers and Callers are how many there are.
	Boxes   int
	Servers int
	Callers int
	// SlowCallers is how many others send bodies slowly and never whole.
	SlowCallers int
	// IdleCallers is how many others send requests on connections that have rested.
	IdleCallers int
	// DeadlyCallers is how many others send a request that ends servers.
	DeadlyCallers int
	// DeadlySegmentCallers is how many others send requests with a prompt segment that crashes servers.
	DeadlySegmentCallers int
	// Program is the path of dalebend-box, Args are its arguments.
	Program string
	Args    []string
	// Dir is an existing folder for settings files and the boxes' logs.
	Dir    string
	Bounds bounds.Bounds
	Clock  clockwork.Clock
	Logger *slog.Logger

	group    *errgroup.Group
	record   *history.Recorder
	loopback *loopback
	store    *standin.Store
	fleet    *backends.Fleet
	operator *operator.Operator
	balancer *callers.Balancer
	boxes    []inject.Box
}

const (
	// readyMost is how long the boxes may take to be ready at first.
	readyMost = 30 * time.Second
	// readyCheck is how often that, or the recovery, is looked at.
	readyCheck = 100 * time.Millisecond
	// settleLeast is how long callers go on after the last fault at least.
	settleLeast = 2500 * time.Millisecond
	// settleLook is the time whose requests show that all is well again, and
	// settleShare the part of them that must be served, in percent.
	settleLook  = time.Second
	settleShare = 90
	// afterRecovery is how long callers go on past the bound of recovery.
	afterRecovery = 2 * time.Second
)

// errNotReady means that something did not hold in time.
var errNotReady = errors.New("the boxes are not ready")

// Do carries the soak out, and ends all processes that it started. The error is that of
// the soak itself; promises that were broken are in the result.
func (r *Run) Do(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.group, ctx = errgroup.WithContext(ctx)
	r.record = history.NewRecorder(r.Clock)
	counts, err := r.play(ctx)
	cancel()
	if r.fleet != nil {
		r.fleet.Close()
	}
	err = errors.Join(err, r.group.Wait())
	if r.loopback != nil {
		err = errors.Join(err, r.loopback.close())
	}
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", r.Seed, err)
	}
	h := r.record.End()
	c := check.NewCase(h, r.Bounds, standin.Event)
	return &Result{Seed: r.Seed, Faults: counts, History: h, Violations: c.Run()}, nil
}

// play starts everything, plays the schedule and lets callers go on until all is
// well again.
func (r *Run) play(ctx context.Context) (history.Counts, error) {
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	if err := r.await(ctx, readyMost, r.balancer.AllReady); err != nil {
		return nil, err
	}
	r.group.Go(func() error { r.watchDelays(ctx); return nil })
	calling, stop := context.WithCancel(ctx)
	defer stop()
	ended := r.call(calling)
	injector := &inject.Injector{
		Boxes: r.boxes, Fleet: r.fleet, Store: &inject.Store{Server: r.store}, Operator: r.operator,
		Record: r.record, Clock: r.Clock, Logger: r.Logger, Serves: r.Bounds.Drain + serveOn,
	}
	acts := schedule.Draw(r.Seed, r.Boxes, r.Duration)
	if r.Calm {
		acts = schedule.DrawCalm(r.Seed, r.Duration)
	}
	counts, err := injector.Run(ctx, acts)
	if err != nil {
		return nil, err
	}
	r.settle(ctx)
	r.record.Quiet()
	stop()
	return counts, errors.Join(ended(), ctx.Err())
}

// call starts callers and probes. What it returns waits for their end.
func (r *Run) call(ctx context.Context) (ended func() error) {
	s := &callers.Callers{
		Balancer: r.balancer, Recent: r.operator.Recent, Seed: r.Seed, Clock: r.Clock, Record: r.record, Logger: r.Logger,
	}
	var g errgroup.Group
	for n := range r.Callers {
		g.Go(func() error { return s.Call(ctx, n) })
	}
	for n := range r.SlowCallers {
		g.Go(func() error { return s.CallSlowly(ctx, n) })
	}
	for n := range r.IdleCallers {
		g.Go(func() error { return s.CallIdle(ctx, n) })
	}
	for n := range r.DeadlyCallers {
		g.Go(func() error { return s.CallDeadly(ctx, n) })
	}
	for n := range r.DeadlySegmentCallers {
		g.Go(func() error { return s.CallDeadlySegment(ctx, n) })
	}
	for n := range r.Boxes {
		g.Go(func() error { return s.Probe(ctx, n) })
	}
	return g.Wait
}

// settle waits until requests are served again, at most for a little longer than
// the bound of recovery.
func (r *Run) settle(ctx context.Context) {
	r.record.Calm()
	calm := r.record.Now()
	well := func() bool {
		now := r.record.Now()
		served, all := r.record.ServedSince(now - settleLook)
		return now-calm >= settleLeast && all > 0 && served*100 >= all*settleShare
	}
	if err := r.await(ctx, r.Bounds.Recovery+afterRecovery, well); err != nil {
		r.Logger.Info("requests are not served as before", "seed", r.Seed)
	}
}

// await looks until something holds. It returns errNotReady after the most time, or the
// context's error.
func (r *Run) await(ctx context.Context, most time.Duration, holds func() bool) error {
	by := r.Clock.Now().Add(most)
	for r.Clock.Now().Before(by) {
		if holds() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Clock.After(readyCheck):
		}
	}
	return errNotReady
}

const (
	// delayCheck is how often the soak looks at its own delay, and delayMost the most
	// that does not count as having been held up: less than the least slack, 500 ms.
	delayCheck = 50 * time.Millisecond
	delayMost  = 400 * time.Millisecond
)

// watchDelays notes when the soak itself was not run in time: the boxes may not
// have been, either.
func (r *Run) watchDelays(ctx context.Context) {
	for {
		due := r.record.Now() + delayCheck
		select {
		case <-ctx.Done():
			return
		case <-r.Clock.After(delayCheck):
		}
		if late := r.record.Now() - due; late > delayMost {
			r.Logger.Info("the soak was held up", "for", late)
			r.record.Held(late)
		}
	}
}
