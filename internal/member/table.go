package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// roundInterval is the time between heartbeats. Three of them fit into half of the 3 s after
	// which the platform makes a box follow its rules again.
	roundInterval = 400 * time.Millisecond
	// relayedRound is the time between heartbeats in a fleet with relays, where each of 300 boxes
	// receives 500 a second from each of two relays.
	relayedRound = 600 * time.Millisecond
	// sampleInterval is the time between member samples sent to a random peer in a fleet with
	// relays. They reunite parts of the fleet that the relays don't connect.
	sampleInterval = 3 * time.Second
	// relayedInterval is the longest time between two relayed heartbeats at their receiver. Two
	// relays on the way may each hold one for relayHoldTime.
	relayedInterval = relayedRound + 300*time.Millisecond
	// maxMissedHeartbeats is the number of consecutive heartbeats that may be lost: single
	// datagrams do get lost, but three in a row hardly ever.
	maxMissedHeartbeats = 3
	// heartbeatSlack covers an exhausted CPU quota (0.1 s) on both sides, and the network.
	heartbeatSlack = 300 * time.Millisecond
	// maxSilenceLimit bounds the silence that a peer may announce, at twice that of a large fleet.
	maxSilenceLimit = 4 * time.Second
	// suspectInterval is the time between heartbeats to a silent peer.
	suspectInterval = time.Second
	// suspectFor is how long a silent peer gets those; boxes come back within seconds or not at
	// all.
	suspectFor = 30 * time.Second
	// listedInterval is the time between heartbeats to a peer that has been silent for suspectFor
	// and that the store still lists.
	listedInterval = 5 * time.Second
	// discoveryTime is how long two boxes of a small fleet may take to discover each other while
	// heartbeats are lost: maxMissedHeartbeats each way, and one round.
	discoveryTime = (2*maxMissedHeartbeats + 1) * roundInterval
)

// table holds the peers. Only the goroutine of the node uses it.
type table struct {
	// self is the entry of the box itself.
	self   *peer
	byName map[string]*peer
	// byKey holds the peers that a digest has arrived from, by IncarnationKey.
	byKey map[uint64]*peer
	// order holds the live peers, by name.
	order []*peer
	// domains holds the live boxes of each failure domain, including this one, by rank as relays;
	// unranked means that it must be rebuilt.
	domains  map[string][]*peer
	unranked bool
	// presenceAt is when a relay of each failure domain last reported who is present there.
	presenceAt map[string]time.Time
	// indexes holds the member index of each failure domain, built on first use after a change.
	indexes map[string]*memberIndex
}

func newTable(self Box, strength int32) *table {
	t := &table{
		self:       &peer{box: self, strength: strength, hash: xxhash.Sum64String(self.Name)},
		byName:     make(map[string]*peer),
		byKey:      make(map[uint64]*peer),
		presenceAt: make(map[string]time.Time),
	}
	t.rankDomains()
	return t
}

// receive accepts a digest; the peer is nil if the digest is stale or its address unusable.
func (t *table) receive(d *digest.Digest, now time.Time) (*peer, change) {
	box := Box{Name: d.Box, Addr: d.Addr, CallAddr: d.CallAddr, Domain: d.Domain}
	p := t.byName[box.Name]
	if p != nil && p.isStale(d) {
		return nil, unchanged
	}
	addr := udpAddr(box.Addr)
	if addr == nil {
		return nil, unchanged
	}
	what := p.changeIn(d, box)
	if p == nil {
		p = &peer{hash: xxhash.Sum64String(box.Name)}
		t.byName[box.Name] = p
	}
	if p.live && (p.strength != d.Strength || p.box.Domain != box.Domain) {
		t.unranked = true
	}
	t.storeState(p, d)
	p.box, p.addr = box, addr
	p.heard, p.maxSilence = now, silenceLimit(d.IntervalMs)
	if what != unchanged {
		t.markMet(p, now)
	}
	if !p.live {
		p.live = true
		t.insert(p)
	}
	return p, what
}

// changeIn classifies what a digest changes; p is nil for an unknown box.
func (p *peer) changeIn(d *digest.Digest, box Box) change {
	switch {
	case p == nil || p.incarnation == 0:
		return newPeer
	case !p.live:
		return regained
	case p.incarnation != d.Incarnation || p.box != box:
		return restarted
	default:
		return unchanged
	}
}

// markMet records that a peer joined, rejoined or restarted.
func (t *table) markMet(p *peer, now time.Time) {
	p.firstHeard = now
	if now.Sub(t.self.joinedAt) > settleTime {
		// Peers that this box discovers first may have been running for long.
		p.joinedAt = now
	}
}

// revive makes a lost peer live again without a newer digest.
func (t *table) revive(p *peer, now time.Time) {
	p.heard = later(p.heard, now.Add(-presenceWindow))
	t.markMet(p, now)
	p.live = true
	t.insert(p)
}

// insert adds a live peer to order and to its failure domain.
func (t *table) insert(p *peer) {
	at, _ := slices.BinarySearchFunc(t.order, p.box.Name, func(other *peer, name string) int {
		return cmp.Compare(other.box.Name, name)
	})
	t.order = slices.Insert(t.order, at, p)
	t.insertRanked(p)
}

// storeState stores a digest as the state of a peer.
func (t *table) storeState(p *peer, d *digest.Digest) {
	if p.state == nil || p.incarnation != d.Incarnation {
		t.forgetKey(p)
		p.key = digest.IncarnationKey(d.Box, d.Incarnation)
		t.byKey[p.key] = p
		t.indexes = nil
	}
	p.state, p.incarnation, p.seq, p.strength = d, d.Incarnation, d.Seq, d.Strength
}

// forgetKey removes a peer from byKey.
func (t *table) forgetKey(p *peer) {
	if p.state != nil {
		delete(t.byKey, p.key)
	}
}

// learn adds a box that a peer or the store named, and returns the peer if it was unknown.
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

// setListed applies the list from the store.
func (t *table) setListed(boxes []Box, now time.Time) {
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

// liveBoxes returns the live boxes, including this one, sorted by name.
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
