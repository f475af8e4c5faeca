package member

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// roundInterval is the time between heartbeats. It is set so that three of them
	// fit into half of the 3 s after which the platform holds a box to its rules again.
	roundInterval = 400 * time.Millisecond
	// peersPerRound bounds the cost of a heartbeat round: to send, receive and decode
	// one took about 10 us on loopback, so a round takes a quarter of a millisecond.
	peersPerRound = 24
	// missedBeats is the number of heartbeats in a row that may be lost: datagrams are
	// lost now and then, and three in a row hardly ever.
	missedBeats = 3
	// beatSlack covers a processor quota that is spent (0.1 s) on both sides, and the network.
	beatSlack = 300 * time.Millisecond
	// maxLiveFor bounds the silence that a peer may announce. It covers 300 boxes in
	// rounds of 24.
	maxLiveFor = 20 * time.Second
	// suspectInterval is the time between heartbeats to a peer that is silent.
	suspectInterval = time.Second
	// suspectFor is how long a silent peer gets those; boxes come back within seconds
	// or not at all.
	suspectFor = 30 * time.Second
	// listedInterval is the time between heartbeats to a silent peer that the store
	// still lists.
	listedInterval = 5 * time.Second
)

// peer is what is known of another box.
type peer struct {
	box  Box
	addr net.Addr
	// incarnation and seq are those of the last digest, 0 if there was none.
	incarnation int64
	seq         uint64
	// listed means that the store's list has the box.
	listed bool
	// live peers are heard; the silence of others began at lost.
	live bool
	lost time.Time
	// heard is the time of the last digest, and liveFor how long a silence may follow it.
	heard   time.Time
	liveFor time.Duration
	// next is when a peer that is not live gets its next heartbeat.
	next time.Time
}

// deadline is when a live peer counts as lost. While a fleet grows, a peer may
// have told of a shorter turn than the one that it needs by now; no turn is
// shorter than this box's own.
func (t *table) deadline(p *peer) time.Time {
	own := liveFor(int32(t.turnTime().Milliseconds()))
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
	self   Box
	byName map[string]*peer
	// order is the live peers in the order of the rounds.
	order []*peer
	// turn is where the next round begins in order.
	turn int
}

func newTable(self Box) *table {
	return &table{self: self, byName: make(map[string]*peer)}
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
		p = &peer{}
		t.byName[box.Name] = p
		what = newPeer
	case p.incarnation == 0:
		what = newPeer
	case !p.live:
		what = regained
	case p.incarnation != d.Incarnation || p.box != box:
		what = restarted
	}
	p.box, p.addr = box, addr
	p.incarnation, p.seq = d.Incarnation, d.Seq
	p.heard, p.liveFor = now, liveFor(d.IntervalMs)
	if !p.live {
		p.live = true
		t.order = append(t.order, p)
	}
	return p, what
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

// liveFor is how long a peer may be silent that sends at an interval. A large fleet
// is served in turns, so the sender tells how long one takes.
func liveFor(intervalMs int32) time.Duration {
	interval := max(time.Duration(intervalMs)*time.Millisecond, roundInterval)
	return min(missedBeats*interval+beatSlack, maxLiveFor)
}

// learn takes a box that another one counts as live. It returns the peer if it
// was not known.
func (t *table) learn(b Box, now time.Time) *peer {
	p := t.byName[b.Name]
	addr := udpAddr(b.Addr)
	if b.Name == t.self.Name || addr == nil || (p != nil && p.live) {
		return nil
	}
	if p != nil {
		p.box, p.addr = b, addr
		return nil
	}
	p = &peer{box: b, addr: addr, lost: now, next: now}
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
		p.next = now.Add(suspectInterval)
		if now.Sub(p.lost) >= suspectFor {
			if !p.listed {
				delete(t.byName, name)
				continue
			}
			p.next = now.Add(listedInterval)
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.box.Name, b.box.Name) })
	return out
}

// nextTurn returns the peers of the next heartbeat round.
func (t *table) nextTurn() []*peer {
	count := min(len(t.order), peersPerRound)
	out := make([]*peer, 0, count)
	for range count {
		t.turn %= len(t.order)
		out = append(out, t.order[t.turn])
		t.turn++
	}
	return out
}

// turnTime is how long it takes until each live peer had its turn.
func (t *table) turnTime() time.Duration {
	rounds := (len(t.order) + peersPerRound - 1) / peersPerRound
	return time.Duration(max(rounds, 1)) * roundInterval
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
	out = append(out, t.self)
	for _, p := range t.order {
		out = append(out, p.box)
	}
	slices.SortFunc(out, func(a, b Box) int { return cmp.Compare(a.Name, b.Name) })
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
