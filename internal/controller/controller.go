// Package controller is the control path of a box: it brings the configuration in
// force, follows the boxes and backend servers, and answers peers, its router and
// operators. It keeps nothing: all that must last is in the object API.
//
// A few controllers of each failure domain watch the store; the others wait at
// those for news. Any controller falls back to the store when its peers fail.
package controller

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

	"github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/claim"
	"github.com/dalebend/dalebend/internal/configstore"
	"github.com/dalebend/dalebend/internal/confrelay"
	"github.com/dalebend/dalebend/internal/control"
	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/fleetdelta"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/objectapi"
	"github.com/dalebend/dalebend/internal/peerrpc"
)

// Controller is the control path of one box. Set the exported fields before Run.
type Controller struct {
	// Box and Domain name this box and its failure domain.
	Box    string
	Domain string
	// API is the object API.
	API *objectapi.Client
	// Boxes is the platform's box list.
	Boxes *boxlist.Client
	// TLS proves this box to its peers; nil accepts loopback only.
	TLS *tls.Config
	// Engines carries orders; nil places no models.
	Engines *engineclient.Client
	// LeaseTerm is the term of leases; 0 takes the default. All boxes use the same.
	LeaseTerm time.Duration
	// Clock gives the time.
	Clock clockwork.Clock
	// Metrics counts what is done.
	Metrics metrics.Registry
	// Journal hears decisions.
	Journal *journal.Journal
	// Logger hears changes of state.
	Logger *slog.Logger
	// Explained returns the decisions on a request of this box's router; may be nil.
	Explained func(request string, limit int) []journal.Event

	relay   *confrelay.Relay
	members *members
	store   *configstore.Store
	peers   *peers
	watch   watchState
	ledger  *claim.Ledger
	placer  *placer
}

// Run serves peers on the listener and follows the configuration until ctx ends.
func (c *Controller) Run(ctx context.Context, ln net.Listener) error {
	if c.relay == nil {
		c.Prepare()
	}
	service := &control.Service{
		Ctx:           ctx,
		Configuration: c.relay,
		Membership:    c.members,
		State:         c.status,
		Explained:     c.explain,
		Claimed:       c.claim,
		HearDemand:    c.placer.hear,
		Demanded:      c.placer.own,
		Box:           c.Box,
	}
	server := &peerrpc.Server{Name: control.ServiceName, Receiver: service, TLS: c.TLS}
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, c.API.Abort)
	defer stop()
	if c.Engines != nil {
		c.relay.Subscribe(func(s *fleetdelta.State) { c.placer.take(ctx, s) })
	}
	group.Go(func() error { return server.Run(ctx, ln) })
	group.Go(func() error { return c.followBoxes(ctx) })
	group.Go(func() error { return c.followConfiguration(ctx) })
	if err := group.Wait(); err != nil {
		return fmt.Errorf("controller %s: %w", c.Box, err)
	}
	return nil
}

// Prepare puts the parts together; Run does it if it was not called before.
func (c *Controller) Prepare() {
	c.watch.silent = make(map[string]time.Time)
	c.relay = &confrelay.Relay{Clock: c.Clock}
	c.members = &members{clock: c.Clock, self: c.Box}
	c.placer = &placer{controller: c, drivers: make(map[string]context.CancelFunc)}
	c.ledger = &claim.Ledger{API: c.API, Clock: c.Clock, Metrics: c.Metrics}
	c.store = &configstore.Store{API: c.API, Clock: c.Clock}
	c.peers = &peers{tls: c.TLS, clock: c.Clock, clients: make(map[peerUse]*peerrpc.Client)}
	c.relay.Subscribe(func(s *fleetdelta.State) {
		c.Logger.Info("configuration in force", "version", s.Version(), "digest", s.Digest())
		metrics.GetOrRegisterGauge("controller.version", c.Metrics).Update(int64(s.Version()))
		c.Journal.Record(journal.Event{
			At: c.Clock.Now(), Kind: journal.Snapshot, Reason: fmt.Sprintf("version %d", s.Version()),
		})
	})
}

// Version returns the configuration version in force, or 0. It is there after
// Prepare.
func (c *Controller) Version() uint64 { return c.relay.Version() }

// Watching reports whether this controller watches the store for its failure domain.
func (c *Controller) Watching() bool { return c.members.watcher(c.Domain) }

// status returns what operators see of this controller.
func (c *Controller) status() control.StatusReply {
	reply := control.StatusReply{
		Box:       c.Box,
		Domain:    c.Domain,
		StoreDown: c.API.Down(),
		Watcher:   c.members.watcher(c.Domain),
		Counters:  make(map[string]int64),
	}
	if s := c.relay.State(); s != nil {
		reply.Version, reply.Digest = s.Version(), s.Digest()
	}
	m := c.members.current()
	reply.Isolated, reply.Boxes = m.Isolated, len(m.Boxes)
	if reply.StoreDown {
		reply.Notes = append(reply.Notes, "the object API is down: no apply, no keyed call, no order to engines that do not check fences")
	}
	c.Metrics.Each(func(name string, v any) {
		if counter, ok := v.(metrics.Counter); ok {
			reply.Counters[name] = counter.Count()
		}
	})
	return reply
}

// explain gathers this box's decisions.
func (c *Controller) explain(request string, limit int) []journal.Event {
	events := c.Journal.Select(limit, func(e *journal.Event) bool {
		return request == "" || e.Request == request
	})
	if c.Explained != nil {
		events = append(events, c.Explained(request, limit)...)
	}
	return events
}
