package member

import (
	"cmp"
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
	// sampleInterval is the time between two samples of the members that a box of such a fleet
	// sends to a peer. They bring together what relays do not.
	sampleInterval = 3 * time.Second
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
	// order in which they are taken as relays; unranked means that it is to be made anew.
	domains  map[string][]*peer
	unranked bool
	// rolled is when a relay of a failure domain last told who is there.
	rolled map[string]time.Time
	// rosters are those of the failure domains, made when they are needed after a change.
	rosters map[string]*roster
}

func newTable(self Box, strength int32) *table {
	t := &table{
		self:    &peer{box: self, strength: strength, hash: xxhash.Sum64String(self.Name)},
		byName:  make(map[string]*peer),
		byStart: make(map[uint64]*peer),
		rolled:  make(map[string]time.Time),
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
	what := p.newsIn(d, box)
	if p == nil {
		p = &peer{hash: xxhash.Sum64String(box.Name)}
		t.byName[box.Name] = p
	}
	if p.live && (p.strength != d.Strength || p.box.Domain != box.Domain) {
		t.unranked = true
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

// newsIn says what a digest of a box changes; the peer is nil for one that is not known.
func (p *peer) newsIn(d *digest.Digest, box Box) news {
	switch {
	case p == nil || p.incarnation == 0:
		return newPeer
	case !p.live:
		return regained
	case p.incarnation != d.Incarnation || p.box != box:
		return restarted
	default:
		return sameBox
	}
}

// meet notes that a peer came, came back or started anew.
func (t *table) meet(p *peer, now time.Time) {
	p.met = now
	if now.Sub(t.self.came) > settleTime {
		// What a box hears first may have been there for long.
		p.came = now
	}
}

// revive makes a peer live again that told nothing new.
func (t *table) revive(p *peer, now time.Time) {
	p.heard = later(p.heard, now.Add(-presentFor))
	t.meet(p, now)
	p.live = true
	t.insert(p)
}

// insert puts a peer that is live now in its place.
func (t *table) insert(p *peer) {
	at, _ := slices.BinarySearchFunc(t.order, p.box.Name, func(other *peer, name string) int {
		return cmp.Compare(other.box.Name, name)
	})
	t.order = slices.Insert(t.order, at, p)
	t.rank(p)
}

// keep keeps a digest as the state of a peer.
func (t *table) keep(p *peer, d *digest.Digest) {
	if p.state == nil || p.incarnation != d.Incarnation {
		t.forgetStart(p)
		p.start = digest.StartKey(d.Box, d.Incarnation)
		t.byStart[p.start] = p
		t.rosters = nil
	}
	p.state, p.incarnation, p.seq, p.strength = d, d.Incarnation, d.Seq, d.Strength
}

// forgetStart drops the start that a peer is known by.
func (t *table) forgetStart(p *peer) {
	if p.state != nil {
		delete(t.byStart, p.start)
	}
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
