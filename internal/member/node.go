package member

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/digest"
)

// Node is this box's part in the fleet. Set the exported fields before Run. The
// functions are called from one goroutine and must not block.
type Node struct {
	// Self is this box; its Addr is the address of Conn.
	Self Box
	// Seeds are UDP addresses of boxes that may be there, as IP:port.
	Seeds []string
	// Conn sends and receives the datagrams. Run closes it.
	Conn net.PacketConn
	// Clock gives the time.
	Clock clockwork.Clock
	// Logger hears of peers that are lost and come back, and of failures.
	Logger *slog.Logger
	// Rand chooses peers.
	Rand *rand.Rand
	// Local fills in what this box tells of itself. The fields that identify the
	// sender are set already.
	Local func(d *digest.Digest)
	// Heard gets each digest that is newer than the last one of the same box.
	Heard func(d *digest.Digest)
	// Changed, if set, is called after Live changed.
	Changed func()

	live  atomic.Pointer[[]Box]
	seeds atomic.Pointer[[]string]
	kick  chan struct{}
	list  chan []Box
	once  sync.Once

	incarnation int64
	seq         uint64
	peers       *table
	due         schedule
	sendFailed  bool
	tooLarge    bool
}

// schedule holds the times of what the node does next.
type schedule struct {
	// wake is when the loop meant to wake up.
	wake time.Time
	// round, join and seed are the next heartbeats to live peers, joins of a box
	// that has heard nobody, and joins to seeds that are not live.
	round time.Time
	join  time.Time
	seed  time.Time
	// kicked is when the last round that Kick asked for began.
	kicked time.Time
	// kick means that Kick asked for another one.
	kick bool
}

// inbox is the number of digests that wait for the loop; more wait in the socket.
const inbox = 64

// init makes what methods need that may be called before Run.
func (n *Node) init() {
	n.once.Do(func() {
		n.kick = make(chan struct{}, 1)
		n.list = make(chan []Box, 1)
	})
}

// Live returns the boxes that are heard, and this one, sorted by name. The slice
// is read only.
func (n *Node) Live() []Box {
	if p := n.live.Load(); p != nil {
		return *p
	}
	return []Box{n.Self}
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []string) { n.seeds.Store(&seeds) }

// currentSeeds returns the seeds in force.
func (n *Node) currentSeeds() []string {
	if p := n.seeds.Load(); p != nil {
		return *p
	}
	return n.Seeds
}

// Kick says that what Local tells has changed: all live peers get a heartbeat
// soon. Calls that follow each other closely share one.
func (n *Node) Kick() {
	n.init()
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// AddBoxes gives the node the store's present list of boxes, which replaces the
// one before. A box that is no longer listed stays while it is heard.
func (n *Node) AddBoxes(boxes []Box) {
	n.init()
	for {
		select {
		case n.list <- boxes:
			return
		default:
		}
		// Only the newest list counts.
		select {
		case <-n.list:
		default:
		}
	}
}

// Run sends and receives heartbeats until ctx ends; the error is then nil. Another
// error means that the socket was closed from outside.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	n.start()
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	in := make(chan *digest.Digest, inbox)
	received := make(chan error, 1)
	go func() {
		defer cancel()
		received <- n.receive(inner, in)
	}()
	n.loop(inner, in)
	closed := n.Conn.Close()
	err := <-received
	switch {
	case ctx.Err() == nil:
		return fmt.Errorf("receive heartbeats: %w", err)
	case closed != nil:
		return fmt.Errorf("close heartbeat socket: %w", closed)
	default:
		return nil
	}
}

func (n *Node) start() {
	now := n.Clock.Now()
	n.incarnation = now.UnixNano()
	n.peers = newTable(n.Self)
	n.due = schedule{wake: now, round: now, join: now, seed: now.Add(seedInterval)}
	n.publish()
}

// loop owns the state of the node.
func (n *Node) loop(ctx context.Context, in <-chan *digest.Digest) {
	timer := n.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in:
			n.accept(d)
			continue
		case boxes := <-n.list:
			n.peers.listed(boxes, n.Clock.Now())
		case <-n.kick:
			n.due.kick = true
		case <-timer.Chan():
		}
		n.tick(n.Clock.Now())
		timer.Reset(n.due.wake.Sub(n.Clock.Now()))
	}
}

// publish makes the live boxes known to other goroutines.
func (n *Node) publish() {
	live := n.peers.liveBoxes()
	n.live.Store(&live)
	if n.Changed != nil {
		n.Changed()
	}
}
