package member

import (
	"net"
	"net/netip"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

// peer is the state known of another box.
type peer struct {
	box  Box
	addr net.Addr
	// state is the last digest received, and incarnation and seq are its own, 0 before the first.
	state       *digest.Digest
	incarnation int64
	// key is the IncarnationKey of its last incarnation.
	key uint64
	seq uint64
	// strength and hash rank the boxes as relays.
	strength int32
	hash     uint64
	relay    relayUse
	// listed means that the list from the store has the box.
	listed bool
	// live is set while heartbeats arrive; otherwise lost is when the box was declared lost.
	live bool
	lost time.Time
	// joinedAt is when it joined or rejoined while this box was running.
	joinedAt time.Time
	// firstHeard is when its first digest arrived, or the first after a silence or a restart.
	firstHeard time.Time
	// heard is when its last digest arrived, and maxSilence how long it may be silent after that.
	heard      time.Time
	maxSilence time.Duration
	// presentAt is when a relay last reported it as present.
	presentAt time.Time
	// next is when a peer that is not live gets its next heartbeat.
	next time.Time
}

// deadline returns when a live peer is declared lost. A peer that was present in the last presence
// report of its failure domain's relays is kept until their next report, even if all of them have
// died: others replace them after relaySilence and a round. While a fleet grows, a peer may have
// reported a shorter interval than it needs by now; the limit is never shorter than this box's own.
func (t *table) deadline(p *peer) time.Time {
	own := silenceLimit(int32(t.interval().Milliseconds()))
	due := p.heard.Add(max(p.maxSilence, own))
	if reportedAt, ok := t.presenceAt[p.box.Domain]; ok && p.presentAt.Equal(reportedAt) {
		return later(due, reportedAt.Add(maxSilenceLimit))
	}
	return due
}

// change classifies how a digest changes what is known of its box.
type change uint8

const (
	unchanged change = iota
	newPeer
	regained
	restarted
)

// isStale reports whether a digest is older than the last one accepted. A lower incarnation is
// accepted from a peer that has been declared lost: the clock of a box may have been set back
// before it restarted.
func (p *peer) isStale(d *digest.Digest) bool {
	if d.Incarnation != p.incarnation {
		return d.Incarnation < p.incarnation && p.live
	}
	return d.Seq <= p.seq
}

// silenceLimit returns how long a peer that sends at an interval may be silent. The sender reports
// the interval, since heartbeats by way of relays in a large fleet arrive further apart.
func silenceLimit(intervalMs int32) time.Duration {
	interval := max(time.Duration(intervalMs)*time.Millisecond, roundInterval)
	return min(maxMissedHeartbeats*interval+heartbeatSlack, maxSilenceLimit)
}

// udpAddr parses IP:port, and returns nil if it is malformed. Boxes have no name service.
func udpAddr(s string) net.Addr {
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return nil
	}
	return net.UDPAddrFromAddrPort(ap)
}
