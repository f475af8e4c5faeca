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

// Node is this box's endpoint of the membership protocol. Set the exported fields before Run. All
// callbacks run on one goroutine and must not block.
type Node struct {
	// Self is this box; its Addr is the address of Conn.
	Self Box
	// Seeds are the UDP addresses of boxes that may be running, as IP:port.
	Seeds []string
	// Conn sends and receives the datagrams. Run closes it.
	Conn  net.PacketConn
	Clock clockwork.Clock
	// Logger logs peers that are lost or come back, and failures.
	Logger *slog.Logger
	// Rand selects peers.
	Rand *rand.Rand
	// Strength is this box's capacity as a relay; the higher the better.
	Strength int32
	// FillDigest fills in the state that this box reports. The fields that identify the sender are
	// set already.
	FillDigest func(d *digest.Digest)
	// OnDigest gets each digest that is newer than the last one from the same box.
	OnDigest func(d *digest.Digest)
	// OnPresent, if set, gets the names of boxes that are present and whose state has not changed.
	// The list is read only.
	OnPresent func(boxes []string)
	// OnNote, if set, gets each note broadcast by another box, once. from is the name of that box, "" if it
	// is not known here.
	OnNote func(from string, data []byte)
	// OnChange, if set, is called after the live boxes changed, with the names of those that were
	// lost.
	OnChange func(lost []string)

	live atomic.Pointer[[]Box]
	// extraLag is the time beyond flushInterval, in ns, for which relays of this failure domain,
	// and of others of its size, hold changes: each of two relays on the way holds them for half of
	// it on average.
	extraLag atomic.Int64
	seeds    atomic.Pointer[[]string]
	trigger  chan struct{}
	list     chan []Box
	notes    chan []byte
	once     sync.Once

	incarnation int64
	// ownKey is the IncarnationKey of this process.
	ownKey uint64
	seq    uint64
	peers  *table
	// reported, out, requests and presence hold the state of a box in a large fleet: what it has
	// reported, what it has to forward, what it lacks, and which boxes are present.
	reported reportState
	out      outbox
	requests requests
	presence presenceState
	// highest holds the highest versions that any box reported.
	highest versions
	// pendingDigests and pendingNotes were taken from a datagram and go to OnDigest and OnNote
	// next.
	pendingDigests []*digest.Digest
	pendingNotes   []pendingNote
	// noteSeq is the sequence number of this box's last note.
	noteSeq uint64
	// changed means that the live boxes have changed since publishLive.
	changed    bool
	due        schedule
	lines      peerLines
	sendFailed bool
	tooLarge   bool
}

// schedule holds the times of the node's next actions.
type schedule struct {
	// wake is when the loop planned to wake up.
	wake time.Time
	// round is the time of the next heartbeat to live peers, join that of the next join while no
	// peer is live, and seed that of the next join to seeds that are not live.
	round time.Time
	join  time.Time
	seed  time.Time
	// lastTriggered is when the last round requested by TriggerHeartbeat began.
	lastTriggered time.Time
	// triggered means that TriggerHeartbeat requested another round.
	triggered bool
	// reported is when this box last sent a report to its relays.
	reported time.Time
}

// pendingNote is a note and the name of the box that broadcast it.
type pendingNote struct {
	from string
	data []byte
}

// datagram is a decoded datagram: either a digest or a bundle.
type datagram struct {
	digest *digest.Digest
	bundle *digest.Bundle
}

// inboxSize is the number of datagrams queued for the loop; the rest wait in the socket buffer.
const inboxSize = 64

// init makes the channels for methods that may be called before Run.
func (n *Node) init() {
	n.once.Do(func() {
		n.trigger = make(chan struct{}, 1)
		n.list = make(chan []Box, 1)
		n.notes = make(chan []byte, noteQueueSize)
	})
}

// Live returns the live boxes, including this one, sorted by name. The slice is read only.
func (n *Node) Live() []Box {
	if p := n.live.Load(); p != nil {
		return *p
	}
	return []Box{n.Self}
}

const (
	// directLag is the usual time until a change reaches a peer directly: the network and the
	// processing on both sides.
	directLag = 5 * time.Millisecond
	// relayedLag is the usual time by way of relays: some 35 ms on average in a fleet of 300, where
	// two relays on the way hold it for half of flushInterval each, plus processing.
	relayedLag = 45 * time.Millisecond
)

// PropagationDelay returns the usual age of state received from other boxes.
func (n *Node) PropagationDelay() time.Duration {
	if len(n.Live()) <= directPeers+1 {
		return directLag
	}
	return relayedLag + time.Duration(n.extraLag.Load())
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

// TriggerHeartbeat reports that the state filled in by FillDigest has changed: all live peers get a
// heartbeat within triggerInterval, through relays in a large fleet. Calls in quick succession
// share one.
func (n *Node) TriggerHeartbeat() {
	n.init()
	select {
	case n.trigger <- struct{}{}:
	default:
	}
}

// SetListedBoxes replaces the list of boxes read from the store. A box that is no longer listed is
// kept while it is live.
func (n *Node) SetListedBoxes(boxes []Box) {
	n.init()
	for {
		select {
		case n.list <- boxes:
			return
		default:
		}
		// Only the newest list matters.
		select {
		case <-n.list:
		default:
		}
	}
}

// Run sends and receives heartbeats until ctx ends, and then returns nil. It returns an error if
// the socket was closed from outside.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	n.start()
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	in := make(chan datagram, inboxSize)
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
	n.ownKey = digest.IncarnationKey(n.Self.Name, n.incarnation)
	n.peers = newTable(n.Self, n.Strength)
	n.peers.self.joinedAt, n.peers.self.key = now, n.ownKey
	n.reported = reportState{}
	n.due = schedule{wake: now, round: now, join: now, seed: now.Add(seedInterval)}
	n.publishLive(nil)
}

// loop owns the state of the node.
func (n *Node) loop(ctx context.Context, in <-chan datagram) {
	timer := n.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-in:
			n.handle(d)
			if n.forward() {
				timer.Reset(n.due.wake.Sub(n.Clock.Now()))
			}
			continue
		case boxes := <-n.list:
			n.peers.setListed(boxes, n.Clock.Now())
		case data := <-n.notes:
			n.sendNote(data, n.Clock.Now())
		case <-n.trigger:
			n.due.triggered = true
		case <-timer.Chan():
		}
		n.tick(n.Clock.Now())
		timer.Reset(n.due.wake.Sub(n.Clock.Now()))
	}
}

// forward sends the bundles and requests that are due, and reports whether the loop must wake up
// sooner for the rest.
func (n *Node) forward() bool {
	now := n.Clock.Now()
	n.flush(now)
	n.sendRequests(now)
	wake := sooner(sooner(n.due.wake, n.out.due), n.requests.due)
	if !wake.Before(n.due.wake) {
		return false
	}
	n.due.wake = wake
	return true
}

// sooner returns the earlier of two times; a zero b means none.
func sooner(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// publishLive publishes the live boxes to other goroutines and reports the peers that were lost.
func (n *Node) publishLive(lost []*peer) {
	n.changed = false
	if n.peers.unranked {
		n.peers.rankDomains()
	}
	live := n.peers.liveBoxes()
	n.live.Store(&live)
	apart := time.Duration(len(n.peers.domains[n.Self.Domain])) * flushPerBox
	n.extraLag.Store(int64(max(0, apart-flushInterval)))
	if n.OnChange == nil {
		return
	}
	names := make([]string, 0, len(lost))
	for _, p := range lost {
		names = append(names, p.box.Name)
	}
	n.OnChange(names)
}
