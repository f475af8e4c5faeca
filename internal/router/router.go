// Package router is the request path of a box, put together: gateway, scheduler,
// engine and plain-service clients, and the feed from the controller.
package router

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/admin"
	"github.com/dalebend/dalebend/internal/control"
	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/fleetfeed"
	"github.com/dalebend/dalebend/internal/gateway"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/loadpoll"
	"github.com/dalebend/dalebend/internal/loan"
	"github.com/dalebend/dalebend/internal/occupancy"
	"github.com/dalebend/dalebend/internal/peerrpc"
	"github.com/dalebend/dalebend/internal/plaincall"
	"github.com/dalebend/dalebend/internal/route"
	"github.com/dalebend/dalebend/internal/schedule"
	"github.com/dalebend/dalebend/internal/snapshotstore"
	"github.com/dalebend/dalebend/internal/tracing"
)

// journalSize is how many decisions a router remembers.
const journalSize = 20000

// policy chooses an engine for a request.
type policy interface {
	Choose(r *route.Request, v *route.View) (e *route.Engine, ok bool)
}

// Router is the request path of one box. Set the exported fields before Run.
type Router struct {
	// Box and Domain name this box and its failure domain.
	Box    string
	Domain string
	// Policy chooses engines; nil takes the forecast.
	Policy policy
	// Yield lets the box push running work aside.
	Yield bool
	// Margin is that of the memory forecast, in standard deviations; 0 takes the
	// scheduler's own.
	Margin float64
	// Told returns true lengths, for the oracle baseline alone.
	Told func(prompt string) int
	// Controller is the rpc client of this box's controller; nil needs Holder to be
	// fed otherwise.
	Controller *peerrpc.Client
	// PeerListener is where other routers ask for room; nil asks and lends nothing.
	PeerListener net.Listener
	// PeerTLS proves this box to its peers; nil accepts loopback only.
	PeerTLS *tls.Config
	// LoadLag is how old engines' load reports usually are.
	LoadLag time.Duration
	// PollEvery is the time between polls of one engine's load.
	PollEvery time.Duration
	// Gateway holds the settings of the interface for callers that are plain values:
	// MaxConns, ResumeGrace, StopLag and StopLimit.
	Gateway gateway.Server
	// Clock gives the time.
	Clock clockwork.Clock
	// Seed fixes the random numbers.
	Seed uint64
	// Logger hears changes of state.
	Logger *slog.Logger
	// Tracer makes spans; nil makes none.
	Tracer *tracing.Tracer

	// Holder holds the snapshot in force; Metrics and Journal are shown to operators.
	Holder  snapshotstore.Holder
	Metrics metrics.Registry
	Journal *journal.Journal

	scheduler *schedule.Scheduler
	plain     *plaincall.Client
	peers     *loan.Peers
}

// SetPeers takes the addresses of other boxes' routers, by box.
func (r *Router) SetPeers(addrs map[string]string) { r.peers.Set(addrs) }

// Scheduler returns the scheduler; it is there after Prepare.
func (r *Router) Scheduler() *schedule.Scheduler { return r.scheduler }

// Prepare puts the parts together. It is called once, before Run.
func (r *Router) Prepare() {
	if r.Policy == nil {
		r.Policy = route.Forecast{}
	}
	if r.Tracer == nil {
		r.Tracer = tracing.Off()
	}
	r.Metrics = metrics.NewRegistry()
	r.Journal = journal.New(journalSize)
	engines := &engineclient.Client{Clock: r.Clock, OnLoad: r.hearLoad}
	engines.Prepare()
	r.scheduler = &schedule.Scheduler{
		Policy: r.Policy, Clock: r.Clock, Journal: r.Journal, Metrics: r.Metrics,
		Box: r.Box, Domain: r.Domain, LoadLag: r.LoadLag, Seed: r.Seed, TrueLength: r.Told, Deviations: r.Margin,
	}
	r.peers = &loan.Peers{TLS: r.PeerTLS, Clock: r.Clock}
	if r.PeerListener != nil {
		r.scheduler.Lender = r.peers
	}
	if r.Yield {
		r.scheduler.Control = engines
	}
	if _, ok := r.Policy.(route.Forecast); !ok {
		r.scheduler.WholeFleet = true
	}
	r.scheduler.Prepare()
	r.plain = &plaincall.Client{Clock: r.Clock, Metrics: r.Metrics, Domain: r.Domain, Seed: r.Seed}
	r.plain.Init()
	if r.Controller != nil {
		own := &peerrpc.Client{Addr: r.Controller.Addr, TLS: r.Controller.TLS, Clock: r.Clock}
		r.Gateway.Claims = &fleetfeed.Claims{Controller: own}
	}
	r.Gateway.Box = r.Box
	r.Gateway.Fleet = &r.Holder
	r.Gateway.Scheduler = r.scheduler
	r.Gateway.Engines = engines
	r.Gateway.Plain = r.plain
	r.Gateway.Clock = r.Clock
	r.Gateway.Journal = r.Journal
	r.Gateway.Metrics = r.Metrics
	r.Gateway.Tracer = r.Tracer
	r.Gateway.Logger = r.Logger
	r.Holder.Subscribe(r.scheduler.SetFleet)
}

// Run serves callers on ln and, if it is not nil, operators on adminLn, until ctx
// ends and what runs has come to its end.
func (r *Router) Run(ctx context.Context, ln, adminLn net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { r.scheduler.Run(background); return nil })
	poller := &loadpoll.Poller{
		Scheduler: r.scheduler, Engines: r.Gateway.Engines, Clock: r.Clock, Every: r.PollEvery, Metrics: r.Metrics,
	}
	group.Go(func() error { poller.Run(background); return nil })
	if r.Controller != nil {
		feed := &fleetfeed.Feed{
			Controller: r.Controller, Holder: &r.Holder, OnMembers: r.hearMembers,
			Demand: r.scheduler.Demand, Clock: r.Clock, Logger: r.Logger,
		}
		group.Go(func() error { feed.Run(background); return nil })
	}
	if r.PeerListener != nil {
		server := &peerrpc.Server{Name: loan.ServiceName, Receiver: &loan.Service{Scheduler: r.scheduler}, TLS: r.PeerTLS}
		group.Go(func() error { return server.Run(background, r.PeerListener) })
	}
	if adminLn != nil {
		operators := &admin.Server{Metrics: r.Metrics, Journal: r.Journal}
		group.Go(func() error { return operators.Run(background, adminLn) })
	}
	group.Go(func() error {
		defer stop()
		return r.Gateway.Run(ctx, ln)
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("router %s: %w", r.Box, err)
	}
	return nil
}

// hearLoad takes a load report that came with an answer or a poll.
func (r *Router) hearLoad(server string, l engineclient.Load) {
	r.scheduler.Hear(server, occupancy.Report{
		Running: l.Running, Waiting: l.Waiting, KVUsed: l.KVUsed, KVTotal: l.KVTotal,
		Preemptions: l.Preemptions, Sample: l.Sample, Models: l.Models,
	}, l.Draining)
}

// hearMembers takes what the controller knows of boxes and backend servers.
func (r *Router) hearMembers(m *control.Members) {
	r.scheduler.SetBoxes(m.Boxes)
	r.peers.Set(m.Routers)
	r.Gateway.SetIsolated(m.Isolated)
	leaving := make(map[string]bool, len(m.Leaving))
	for _, name := range m.Leaving {
		leaving[name] = true
	}
	if snap := r.Holder.Current(); snap != nil {
		for name := range snap.Servers() {
			r.scheduler.SetLeaving(name, leaving[name])
			r.plain.SetLeaving(name, leaving[name])
		}
	}
}
