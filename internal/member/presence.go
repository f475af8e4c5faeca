package member

import (
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// presenceWindow is how recently a relay must have received a datagram of a box to report it as
	// present: one heartbeat interval and its transit time.
	presenceWindow = relayedRound + 100*time.Millisecond
	// presenceRetryInterval is the least time between two requests for the keys in the presence
	// reports of one relay. A box that is missing for that long is still far from being declared
	// lost.
	presenceRetryInterval = relayedRound
	// maxPresences bounds the presence reports that are kept, one for each relay.
	maxPresences = 128
)

// presenceState holds the presence reports sent and received. They replace heartbeats forwarded to
// every box, whose cost at each box would grow in proportion to the fleet.
type presenceState struct {
	// lastForwardRequest is when this box was last asked to forward an item to the fleet; due is
	// when it sends its next presence report as a relay; seq is the number of the last one.
	lastForwardRequest, due time.Time
	seq                     uint64
	// last holds the last report of each relay by its key, to answer boxes that could not decode
	// it.
	last map[uint64]heldPresence
	// requested holds the outstanding requests for keys, by the key of the relay.
	requested map[uint64]presenceRequest
}

// presenceRequest counts the requests for the keys of one relay since a report of it was last
// decoded.
type presenceRequest struct {
	at    time.Time
	times int
}

// heldPresence is a presence report and the index that its bitmap refers to; the index is nil if
// the report lists keys.
type heldPresence struct {
	*digest.Presence
	index *memberIndex
}

// presentKeys returns the keys of the boxes reported as present.
func (r *heldPresence) presentKeys() []uint64 {
	if r.index == nil {
		return r.PresentKeys
	}
	var out []uint64
	for position, p := range r.index.boxes {
		if r.IsPresent(position) {
			out = append(out, p.key)
		}
	}
	return out
}

// relaying reports whether other boxes use this one as a relay.
func (n *Node) relaying(now time.Time) bool {
	return n.peers.relayed() && now.Sub(n.presence.lastForwardRequest) <= relaySilence
}

// publishPresence reports to all boxes who is present in this failure domain.
func (n *Node) publishPresence(now time.Time) {
	n.presence.due = now.Add(relayedRound)
	n.presence.seq++
	r := n.peers.index(n.Self.Domain)
	presence := &digest.Presence{
		Key: n.ownKey, Seq: n.presence.seq, IndexChecksum: r.checksum, Bitmap: digest.NewBitmap(len(r.boxes)),
	}
	for position, p := range r.boxes {
		if p == n.peers.self || now.Sub(p.relay.lastDirect) <= presenceWindow {
			presence.SetPresent(position)
		}
	}
	raw, err := digest.EncodePresence(presence)
	if err != nil {
		n.Logger.Error("cannot encode presence report", "boxes", len(r.boxes), "err", err)
		return
	}
	n.storePresence(heldPresence{Presence: presence, index: r})
	n.out.add(digest.Item{Presence: presence, Raw: raw}, digest.ReachFleet, false, now)
}

// receivePresence applies a relay's presence report. If the relay's index differs from this box's
// own, the bitmap can't be decoded, and the keys are requested instead.
func (n *Node) receivePresence(presence *digest.Presence, b *digest.Bundle, now time.Time) {
	relay := n.peers.byKey[presence.Key]
	if relay == nil {
		n.requestDigest(presence.Key, b, now)
		return
	}
	if !relay.live {
		n.revive(relay, now)
	}
	if len(presence.PresentKeys) > 0 {
		n.storePresence(heldPresence{Presence: presence})
		n.receivePresentKeys(presence.PresentKeys, relay.box.Domain, b, now)
		return
	}
	r := n.peers.index(relay.box.Domain)
	if r.checksum != presence.IndexChecksum {
		n.requestPresence(relay, b, now)
		return
	}
	n.storePresence(heldPresence{Presence: presence, index: r})
	var present []*peer
	for position, p := range r.boxes {
		if presence.IsPresent(position) {
			present = append(present, p)
		}
	}
	n.markPresent(present, relay.box.Domain, now)
}

// markPresent records that a relay of a failure domain received datagrams of these boxes within the
// last presenceWindow.
func (n *Node) markPresent(boxes []*peer, domain string, now time.Time) {
	n.peers.presenceAt[domain] = now
	names := make([]string, 0, len(boxes))
	for _, p := range boxes {
		p.heard, p.presentAt = later(p.heard, now.Add(-presenceWindow)), now
		names = append(names, p.box.Name)
	}
	if n.OnPresent != nil {
		n.OnPresent(names)
	}
}

// receivePresentKeys applies a presence report that lists keys.
func (n *Node) receivePresentKeys(keys []uint64, domain string, b *digest.Bundle, now time.Time) {
	var present []*peer
	for _, key := range keys {
		p := n.peers.byKey[key]
		switch {
		case key == n.ownKey:
		case p == nil:
			n.requestDigest(key, b, now)
		case !p.live:
			n.revive(p, now)
			n.requestDigest(key, b, now)
		default:
			present = append(present, p)
		}
	}
	n.markPresent(present, domain, now)
}

// revive makes a lost peer live again with its last known state. It may have had nothing new to
// report since, so that no newer digest exists.
func (n *Node) revive(p *peer, now time.Time) {
	n.logHeard(p, regained, now)
	n.peers.revive(p, now)
	n.changed = true
	n.pendingDigests = append(n.pendingDigests, p.state)
}

// storePresence keeps the last report of a relay.
func (n *Node) storePresence(r heldPresence) {
	if n.presence.last == nil || len(n.presence.last) >= maxPresences {
		n.presence.last = make(map[uint64]heldPresence)
	}
	n.presence.last[r.Key] = r
	delete(n.presence.requested, r.Key)
}

// requestPresence schedules a request for the keys in a relay's report. It goes to the sender of
// the bundle and to the relay itself by turns, as the sender may be unable to decode the report
// too.
func (n *Node) requestPresence(relay *peer, b *digest.Bundle, now time.Time) {
	request := n.presence.requested[relay.key]
	if now.Sub(request.at) < presenceRetryInterval {
		return
	}
	if n.presence.requested == nil || len(n.presence.requested) >= maxPresences {
		n.presence.requested = make(map[uint64]presenceRequest)
	}
	n.presence.requested[relay.key] = presenceRequest{at: now, times: request.times + 1}
	to := b.Addr
	if request.times%2 == 1 {
		to = relay.box.Addr
	}
	n.requests.begin(now)
	n.requests.presences[to] = append(n.requests.presences[to], relay.key)
}

// appendPresence adds a relay's report, with keys instead of a bitmap, to the items if it is known.
func (n *Node) appendPresence(items []digest.Item, key uint64) []digest.Item {
	held, ok := n.presence.last[key]
	if !ok {
		return items
	}
	raw, err := digest.EncodePresence(&digest.Presence{Key: key, Seq: held.Seq, PresentKeys: held.presentKeys()})
	if err != nil {
		n.Logger.Warn("cannot encode requested presence report", "err", err)
		return items
	}
	return append(items, digest.Item{Raw: raw})
}
