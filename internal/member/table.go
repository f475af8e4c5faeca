package member

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// roundInterval is the time between heartbeats. It is set so that three of them
	// fit into half of the 3 s after which the platform holds a box to its rules again.
	roundInterval = 400 * time.Millisecond
	// relayedRound is the time between heartbeats in a fleet that is told by relays: 300
	// boxes hear 500 a second from each of two relays.
	relayedRound = 600 * time.Millisecond
	// relayedInterval is the longest time between two of these at their receiver. Two
	// relays on the way may each keep one for restInterval.
	relayedInterval = relayedRound + 300*time.Millisecond
	// missedBeats is the number of heartbeats in a row that may be lost: datagrams are
	// lost now and then, and three in a row hardly ever.
	missedBeats = 3
	// beatSlack covers a processor quota that is spent (0.1 s) on both sides, and the network.
	beatSlack = 300 * time.Millisecond
	// maxLiveFor bounds the silence that a peer may announce: twice that of a large fleet.
	maxLiveFor = 4 * time.Second
	// suspectInterval is the time between heartbeats to a peer that is silent.
	suspectInterval = time.Second
	// suspectFor is how long a silent peer gets those; boxes come back within seconds
	// or not at all.
	suspectFor = 30 * time.Second
	// listedInterval is the time between heartbeats to a silent peer that the store
	// still lists.
	listedInterval = 5 * time.Second
	// meetFor is how long two boxes of a small fleet may take to hear each other while
	// heartbeats are lost: missedBeats of them each way, and one round.
	meetFor = (2*missedBeats + 1) * roundInterval
)

// peer is what is known of another box.
type peer struct {
	box  Box
	addr net.Addr
	// state is what was last heard, incarnation and seq are those of it, 0 if there was
	// nothing.
	state       *digest.Digest
	incarnation int64
	seq         uint64
	// strength and hash order the boxes as relays.
	strength int32
	hash     uint64
	relay    relayUse
	// listed means that the store's list has the box.
	listed bool
	// live peers are heard; the silence of others began at lost.
	live bool
	lost time.Time
	// came is when it came, or came back, while this box was there.
	came time.Time
	// met is when it was first heard, or first heard again or anew.
	met time.Time
	// heard is the time of the last digest, and liveFor how long a silence may follow it.
	heard   time.Time
	liveFor time.Duration
	// next is when a peer that is not live gets its next heartbeat.
	next time.Time
}

// deadline is when a live peer counts as lost. While a fleet grows, a peer may
// have told of a shorter interval than the one that it needs by now; none is
// shorter than this box's own.
func (t *table) deadline(p *peer) time.Time {
	own := liveFor(int32(t.interval().Milliseconds()))
	return p.heard.Add(max(p.liveFor, own))
}

// news says what a digest changed.
type news uint8

const (
	sameBox news = iota
	newPeer
	regained
	restarted
)

// table holds the peers. The goroutine of the node owns it.
type table struct {
	// self stands for the box itself.
	self   *peer
	byName map[string]*peer
	// byStart has the peers that were heard, by the StartKey of their last start.
	byStart map[uint64]*peer
	// order is the live peers, by name.
	order []*peer
	// domains is the live boxes of each failure domain, the box itself among them, in the
	// order in which they are taken as relays.
	domains map[string][]*peer
}

func newTable(self Box, strength int32) *table {
	t := &table{
		self:    &peer{box: self, strength: strength, hash: xxhash.Sum64String(self.Name)},
		byName:  make(map[string]*peer),
		byStart: make(map[uint64]*peer),
	}
	t.rankDomains()
	return t
}

// hear takes a digest; the peer is nil when the digest is old or has no usable
// address.
func (t *table) hear(d *digest.Digest, now time.Time) (*peer, news) {
	box := Box{Name: d.Box, Addr: d.Addr, CallAddr: d.CallAddr, Domain: d.Domain}
	p := t.byName[box.Name]
	if p != nil && p.old(d) {
		return nil, sameBox
	}
	addr := udpAddr(box.Addr)
	if addr == nil {
		return nil, sameBox
	}
	what := sameBox
	switch {
	case p == nil:
		p = &peer{hash: xxhash.Sum64String(box.Name)}
		t.byName[box.Name] = p
		what = newPeer
	case p.incarnation == 0:
		what = newPeer
	case !p.live:
		what = regained
	case p.incarnation != d.Incarnation || p.box != box:
		what = restarted
	}
	t.keep(p, d)
	p.box, p.addr = box, addr
	p.heard, p.liveFor = now, liveFor(d.IntervalMs)
	if what != sameBox {
		t.meet(p, now)
	}
	if !p.live {
		p.live = true
		t.insert(p)
	}
	return p, what
}

// meet notes that a peer came, came back or started anew.
func (t *table) meet(p *peer, now time.Time) {
	p.met = now
	if now.Sub(t.self.came) > settleTime {
		// What a box hears first may have been there for long.
		p.came = now
	}
}

// insert puts a peer that is live now in its place.
func (t *table) insert(p *peer) {
	at, _ := slices.BinarySearchFunc(t.order, p.box.Name, func(other *peer, name string) int {
		return cmp.Compare(other.box.Name, name)
	})
	t.order = slices.Insert(t.order, at, p)
}

// keep keeps a digest as the state of a peer.
func (t *table) keep(p *peer, d *digest.Digest) {
	if p.state == nil || p.incarnation != d.Incarnation {
		t.forgetStart(p)
		t.byStart[digest.StartKey(d.Box, d.Incarnation)] = p
	}
	p.state, p.incarnation, p.seq, p.strength = d, d.Incarnation, d.Seq, d.Strength
}

// forgetStart drops the start that a peer is known by.
func (t *table) forgetStart(p *peer) {
	if p.state != nil {
		delete(t.byStart, digest.StartKey(p.state.Box, p.state.Incarnation))
	}
}

// old reports whether a digest was sent before the last one that was taken. A
// lower incarnation is taken when the peer was silent long enough to be lost: the
// clock of a box may have been set back before it started again.
func (p *peer) old(d *digest.Digest) bool {
	if d.Incarnation != p.incarnation {
		return d.Incarnation < p.incarnation && p.live
	}
	return d.Seq <= p.seq
}

// liveFor is how long a peer may be silent that sends at an interval. In a large fleet
// heartbeats go by way of relays, so the sender tells how far apart they may be.
func liveFor(intervalMs int32) time.Duration {
	interval := max(time.Duration(intervalMs)*time.Millisecond, roundInterval)
	return min(missedBeats*interval+beatSlack, maxLiveFor)
}

// learn takes a box that another one counts as live. It returns the peer if it
// was not known.
func (t *table) learn(b Box, now time.Time) *peer {
	p := t.byName[b.Name]
	addr := udpAddr(b.Addr)
	if b.Name == t.self.box.Name || addr == nil || (p != nil && p.live) {
		return nil
	}
	if p != nil {
		p.box, p.addr = b, addr
		return nil
	}
	p = &peer{box: b, addr: addr, hash: xxhash.Sum64String(b.Name), lost: now, next: now}
	t.byName[b.Name] = p
	return p
}

// listed takes the store's list.
func (t *table) listed(boxes []Box, now time.Time) {
	for _, p := range t.byName {
		p.listed = false
	}
	for _, b := range boxes {
		t.learn(b, now)
		if p := t.byName[b.Name]; p != nil {
			p.listed = true
		}
	}
}

// expire returns the peers that are lost now.
func (t *table) expire(now time.Time) []*peer {
	var lost []*peer
	t.order = slices.DeleteFunc(t.order, func(p *peer) bool {
		if now.Before(t.deadline(p)) {
			return false
		}
		p.live, p.lost, p.next = false, now, now
		lost = append(lost, p)
		return true
	})
	return lost
}

// forgive moves the deadlines of live peers by a time during which this process
// did not run and so could not hear them.
func (t *table) forgive(late time.Duration, now time.Time) {
	for _, p := range t.order {
		p.heard = p.heard.Add(late)
		if p.heard.After(now) {
			p.heard = now
		}
	}
}

// silent returns the peers whose next heartbeat is due although they are silent,
// and drops those that were silent for long.
func (t *table) silent(now time.Time) []*peer {
	var out []*peer
	for name, p := range t.byName {
		if p.live || now.Before(p.next) {
			continue
		}
		p.next = now.Add(t.knockInterval(p, now))
		if now.Sub(p.lost) >= suspectFor {
			if !p.listed {
				delete(t.byName, name)
				t.forgetStart(p)
				continue
			}
			p.next = now.Add(listedInterval)
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.box.Name, b.box.Name) })
	return out
}

// small reports whether the boxes that are known at all are few, so that they can be sent
// more while they meet.
func (t *table) small() bool { return len(t.byName) <= directPeers }

// knockInterval is the time between heartbeats to a peer that is not heard. One that was only
// told of may hear this box already, and is to go on doing so until it is heard.
func (t *table) knockInterval(p *peer, now time.Time) time.Duration {
	if t.small() && p.incarnation == 0 && now.Sub(p.lost) < meetFor {
		return roundInterval
	}
	return suspectInterval
}

// meeting reports whether a live peer is so new that it may not have heard of the others yet:
// of any missedBeats heartbeats in a row one arrives.
func (t *table) meeting(p *peer, now time.Time) bool {
	return t.small() && now.Sub(p.met) <= missedBeats*roundInterval
}

// round is the time between heartbeats.
func (t *table) round() time.Duration {
	if t.relayed() {
		return relayedRound
	}
	return roundInterval
}

// interval is how long it may take until a live peer hears the next heartbeat.
func (t *table) interval() time.Duration {
	if t.relayed() {
		return relayedInterval
	}
	return roundInterval
}

// earliest returns the first time at which something is due to a peer, or later
// if that is sooner.
func (t *table) earliest(later time.Time) time.Time {
	for _, p := range t.byName {
		at := p.next
		if p.live {
			at = t.deadline(p)
		}
		if at.Before(later) {
			later = at
		}
	}
	return later
}

// liveBoxes returns the live boxes and this one, sorted by name.
func (t *table) liveBoxes() []Box {
	out := make([]Box, 0, len(t.order)+1)
	placed := false
	for _, p := range t.order {
		if !placed && t.self.box.Name < p.box.Name {
			out = append(out, t.self.box)
			placed = true
		}
		out = append(out, p.box)
	}
	if !placed {
		out = append(out, t.self.box)
	}
	return out
}

// udpAddr returns the address of IP:port, or nil if that is malformed. Boxes have
// no name service.
func udpAddr(s string) net.Addr {
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return nil
	}
	return net.UDPAddrFromAddrPort(ap)
}
