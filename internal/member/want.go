package member

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// wantInterval is how long questions for digests are collected.
	wantInterval = 20 * time.Millisecond
	// digestsPerQuestion is how many digests of some 300 bytes fit into the answer.
	digestsPerQuestion = 24
)

// wants are questions, by the address of the box that told of what is asked for.
type wants struct {
	// starts are those of boxes that were heard of and have no digest here.
	starts map[string][]uint64
	// rolls are those of relays whose rolls could not be read.
	rolls map[string][]uint64
	due   time.Time
}

// begin sets the time for the questions, if there are none yet.
func (w *wants) begin(now time.Time) {
	if w.due.IsZero() {
		*w = wants{starts: make(map[string][]uint64), rolls: make(map[string][]uint64), due: now.Add(wantInterval)}
	}
}

// want asks the sender of a bundle, soon, for the digest of a box that it tells of.
func (n *Node) want(start uint64, b *digest.Bundle, now time.Time) {
	n.wants.begin(now)
	if !slices.Contains(n.wants.starts[b.Addr], start) {
		n.wants.starts[b.Addr] = append(n.wants.starts[b.Addr], start)
	}
}

// ask sends the questions that are due.
func (n *Node) ask(now time.Time) {
	if n.wants.due.IsZero() || now.Before(n.wants.due) {
		return
	}
	for to, starts := range n.wants.starts {
		for wanted := range slices.Chunk(starts, digestsPerQuestion) {
			n.sendQuestion(to, &digest.Bundle{Wanted: wanted})
		}
	}
	for to, starts := range n.wants.rolls {
		n.sendQuestion(to, &digest.Bundle{WantedRolls: starts})
	}
	n.wants = wants{}
}

// sendQuestion sends a question to the address of a box.
func (n *Node) sendQuestion(to string, b *digest.Bundle) {
	if addr := udpAddr(to); addr != nil {
		n.sendBundle(b, []*peer{{addr: addr}})
	}
}

// answerWanted sends the digests and rolls that a box asks for.
func (n *Node) answerWanted(b *digest.Bundle) {
	addr := udpAddr(b.Addr)
	if len(b.Wanted)+len(b.WantedRolls) == 0 || addr == nil {
		return
	}
	var items []digest.Item
	for _, start := range b.WantedRolls {
		items = n.appendRoll(items, start)
	}
	for _, start := range b.Wanted {
		if state := n.stateOf(start); state != nil {
			items = n.appendDigest(items, state)
		}
	}
	n.sendItems(items, digest.ReachBox, []*peer{{addr: addr}})
}

// stateOf returns the digest of a start that is known here, or nil.
func (n *Node) stateOf(start uint64) *digest.Digest {
	if start == n.ownStart {
		return n.state(true)
	}
	if p := n.peers.byStart[start]; p != nil && p.live {
		return p.state
	}
	return nil
}

// appendDigest adds a digest to the items.
func (n *Node) appendDigest(items []digest.Item, d *digest.Digest) []digest.Item {
	raw, err := digest.Encode(d)
	if err != nil {
		n.Logger.Warn("digest left out of an answer", "of", d.Box, "err", err)
		return items
	}
	return append(items, digest.Item{Raw: raw})
}
