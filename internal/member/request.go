package member

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// requestInterval is how long requests for digests are collected into one.
	requestInterval = 20 * time.Millisecond
	// digestsPerRequest is how many digests of some 300 bytes fit into the answer.
	digestsPerRequest = 24
)

// requests holds the pending requests, by the address of the box to send them to.
type requests struct {
	// digests holds the keys of boxes without a known digest.
	digests map[string][]uint64
	// presences holds the keys of relays whose presence bitmaps could not be decoded.
	presences map[string][]uint64
	due       time.Time
}

// begin schedules the requests, if none are pending.
func (w *requests) begin(now time.Time) {
	if w.due.IsZero() {
		*w = requests{digests: make(map[string][]uint64), presences: make(map[string][]uint64), due: now.Add(requestInterval)}
	}
}

// requestDigest schedules a request for a box's digest to the sender of the bundle that named the
// box.
func (n *Node) requestDigest(key uint64, b *digest.Bundle, now time.Time) {
	n.requests.begin(now)
	if !slices.Contains(n.requests.digests[b.Addr], key) {
		n.requests.digests[b.Addr] = append(n.requests.digests[b.Addr], key)
	}
}

// sendRequests sends the requests that are due.
func (n *Node) sendRequests(now time.Time) {
	if n.requests.due.IsZero() || now.Before(n.requests.due) {
		return
	}
	for to, keys := range n.requests.digests {
		for wanted := range slices.Chunk(keys, digestsPerRequest) {
			n.sendRequest(to, &digest.Bundle{WantedDigests: wanted})
		}
	}
	for to, keys := range n.requests.presences {
		n.sendRequest(to, &digest.Bundle{WantedPresence: keys})
	}
	n.requests = requests{}
}

func (n *Node) sendRequest(to string, b *digest.Bundle) {
	if addr := udpAddr(to); addr != nil {
		n.sendBundle(b, []*peer{{addr: addr}})
	}
}

// answerRequest sends the digests and presence reports that a box requested.
func (n *Node) answerRequest(b *digest.Bundle) {
	addr := udpAddr(b.Addr)
	if len(b.WantedDigests)+len(b.WantedPresence) == 0 || addr == nil {
		return
	}
	var items []digest.Item
	for _, key := range b.WantedPresence {
		items = n.appendPresence(items, key)
	}
	for _, key := range b.WantedDigests {
		if state := n.stateOf(key); state != nil {
			items = n.appendDigest(items, state)
		}
	}
	n.sendItems(items, digest.ReachBox, []*peer{{addr: addr}})
}

// stateOf returns the known digest of an incarnation, or nil.
func (n *Node) stateOf(key uint64) *digest.Digest {
	if key == n.ownKey {
		return n.state(true)
	}
	if p := n.peers.byKey[key]; p != nil && p.live {
		return p.state
	}
	return nil
}

func (n *Node) appendDigest(items []digest.Item, d *digest.Digest) []digest.Item {
	raw, err := digest.Encode(d)
	if err != nil {
		n.Logger.Warn("cannot encode requested digest", "of", d.Box, "err", err)
		return items
	}
	return append(items, digest.Item{Raw: raw})
}
