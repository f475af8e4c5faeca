package member

import (
	"net"
	"net/netip"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

// peer is what is known of another box.
type peer struct {
	box  Box
	addr net.Addr
	// state is what was last heard, incarnation and seq are those of it, 0 if there was
	// nothing.
	state       *digest.Digest
	incarnation int64
	// start is the StartKey of its last start.
	start uint64
	seq   uint64
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
	// vouched is when a relay last told that it heard the peer.
	vouched time.Time
	// next is when a peer that is not live gets its next heartbeat.
	next time.Time
}

// deadline is when a live peer counts as lost. One that was there by the last word of the relays of its
// failure domain waits for their next, also if all of them have died: others take their place
// after relaySilence and a round. While a fleet grows, a peer may
// have told of a shorter interval than the one that it needs by now; none is
// shorter than this box's own.
func (t *table) deadline(p *peer) time.Time {
	own := liveFor(int32(t.interval().Milliseconds()))
	due := p.heard.Add(max(p.liveFor, own))
	if rolled, ok := t.rolled[p.box.Domain]; ok && p.vouched.Equal(rolled) {
		return later(due, rolled.Add(maxLiveFor))
	}
	return due
}

// news says what a digest changed.
type news uint8

const (
	sameBox news = iota
	newPeer
	regained
	restarted
)

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

// udpAddr returns the address of IP:port, or nil if that is malformed. Boxes have
// no name service.
func udpAddr(s string) net.Addr {
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return nil
	}
	return net.UDPAddrFromAddrPort(ap)
}
