package controller

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/configstore"
	"github.com/dalebend/dalebend/internal/control"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/fleetdelta"
	"github.com/dalebend/dalebend/internal/fleetfile"
	"github.com/dalebend/dalebend/internal/peerrpc"
)

const (
	// storeWait is how long one watch of the store waits.
	storeWait = 10 * time.Second
	// peerWait is how long a peer holds a fetch; a peer that is silent for
	// peerSlack longer is given up, so that a stalled link costs few seconds.
	peerWait  = 3 * time.Second
	peerSlack = time.Second
	// silentFor is how long a peer that did not answer is passed over.
	silentFor = 30 * time.Second
	// pause is the wait after nobody answered.
	pause = 500 * time.Millisecond
)

// watchState is where the watch of the store stands.
type watchState struct {
	revision uint64
	bad      uint64
	// silent says until when a peer that did not answer is passed over.
	silent map[string]time.Time
}

// peers are the connections to other controllers.
type peers struct {
	tls   *tls.Config
	clock clockwork.Clock

	mu      sync.Mutex
	clients map[peerUse]*peerrpc.Client
}

// peerUse tells connections apart: a call that runs out of time closes its
// connection, which should not end calls of another kind.
type peerUse struct {
	addr string
	use  string
}

func (p *peers) client(addr string) *peerrpc.Client      { return p.get(peerUse{addr, "fetch"}) }
func (p *peers) claimClient(addr string) *peerrpc.Client { return p.get(peerUse{addr, "claim"}) }

func (p *peers) get(use peerUse) *peerrpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[use]
	if c == nil {
		c = &peerrpc.Client{Addr: use.addr, TLS: p.tls, Clock: p.clock}
		p.clients[use] = c
	}
	return c
}

// followConfiguration brings newer versions in force until ctx ends.
func (c *Controller) followConfiguration(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.followOnce(ctx) {
			continue
		}
		c.members.sawNobody()
		select {
		case <-ctx.Done():
		case <-c.Clock.After(pause):
		}
	}
	return nil
}

// followOnce waits for news at one place and reports whether anybody answered.
func (c *Controller) followOnce(ctx context.Context) bool {
	watchers := c.members.watchers(c.Domain)
	watching := len(watchers) == 0 || c.members.watcher(c.Domain) || c.relay.Version() == 0
	if watching && c.watchStore() {
		return true
	}
	for _, b := range watchers {
		if b.Name == c.Box || ctx.Err() != nil || c.Clock.Now().Before(c.watch.silent[b.Name]) {
			continue
		}
		if c.askPeer(ctx, b) {
			return true
		}
		// Each question to a stalled link costs seconds: others go first for a while.
		c.watch.silent[b.Name] = c.Clock.Now().Add(silentFor)
	}
	// No watcher answered: the store itself may.
	return !watching && c.watchStore()
}

// askPeer waits for news at a peer.
func (c *Controller) askPeer(ctx context.Context, b boxlist.Box) bool {
	args := &control.FetchArgs{After: c.relay.Version(), Wait: peerWait}
	if args.After == 0 {
		args.Wait = 0
	}
	reply, err := c.fetch(ctx, b, args)
	if err != nil {
		c.count("controller.peer_failures")
		return false
	}
	c.members.sawPeer()
	if reply.Delta == nil {
		return true
	}
	state, err := fleetdelta.Apply(c.relay.State(), reply.Delta)
	if err != nil {
		c.Logger.Warn("a peer's change does not fit, asking for the whole", "peer", b.Name, "err", err)
		if reply, err = c.fetch(ctx, b, &control.FetchArgs{}); err != nil || reply.Delta == nil {
			return false
		}
		if state, err = fleetdelta.Apply(nil, reply.Delta); err != nil {
			return false
		}
	}
	c.count("controller.from_peer")
	return c.accept(state) == nil
}

func (c *Controller) fetch(ctx context.Context, b boxlist.Box, args *control.FetchArgs) (*control.FetchReply, error) {
	reply := &control.FetchReply{}
	client := c.peers.client(b.Control)
	err := client.Call(ctx, control.MethodFetch, args, reply, args.Wait+peerSlack)
	return reply, err
}

// watchStore waits for news at the store and reports whether it answered.
func (c *Controller) watchStore() bool {
	wait := storeWait
	if c.relay.Version() == 0 {
		wait = time.Second
	}
	page, err := c.API.Watch(configstore.PointerKind, c.watch.revision, wait)
	if err != nil {
		c.count("controller.store_failures")
		return false
	}
	c.members.sawStore()
	for _, o := range page.Objects {
		p, err := configstore.ReadPointer(o.Value)
		if err != nil {
			c.Logger.Error("the fleet pointer cannot be read", "err", err)
			continue
		}
		if p.Version > c.relay.Version() && p.Version != c.watch.bad {
			if !c.takeNews(p) {
				// The revision stays, so that the next watch brings it again.
				return false
			}
		}
	}
	c.watch.revision = max(c.watch.revision, page.Revision)
	return true
}

// takeNews brings what a pointer names in force: by the change when this controller has
// its predecessor, by the whole otherwise. It returns false when the store gave neither.
func (c *Controller) takeNews(p configstore.Pointer) bool {
	if have := c.relay.State(); have != nil && have.Version()+1 == p.Version {
		if d, err := c.store.Delta(p.Content); err == nil {
			state, err := fleetdelta.Apply(have, d)
			if err == nil && c.accept(state) == nil {
				c.count("controller.from_store_delta")
				return true
			}
		}
	}
	return c.takeContent(p)
}

// takeContent brings the whole content that a pointer names in force. It returns false
// when the store did not give it.
func (c *Controller) takeContent(p configstore.Pointer) bool {
	content, err := c.store.Content(p.Content)
	if err != nil {
		return false
	}
	file, err := fleetfile.Parse([]byte(content.YAML))
	if err == nil {
		var state *fleetdelta.State
		state, err = fleetdelta.FromFile(p.Version, file)
		if err == nil {
			c.count("controller.from_store")
			err = c.accept(state)
		}
	}
	if err != nil {
		// A newer release may read it; this one keeps what is in force.
		c.watch.bad = p.Version
		c.Logger.Error("an accepted configuration cannot be used here", "version", p.Version, "err", err)
	}
	return true
}

// accept puts a state in force after making sure that it is a usable fleet.
func (c *Controller) accept(state *fleetdelta.State) error {
	file, err := state.File()
	if err != nil {
		return fmt.Errorf("version %d: %w", state.Version(), err)
	}
	_ = fleet.New(state.Version(), file)
	c.relay.Offer(state)
	return nil
}

func (c *Controller) count(name string) { metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1) }
