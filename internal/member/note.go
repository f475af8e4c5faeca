package member

import (
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// noteQueueSize is how many notes may wait to be sent.
	noteQueueSize = 64
	// sendsPerRelay is how often an item is sent to each relay. An item that reaches neither relay
	// is lost to all boxes: with two sends that is one in a thousand changes when 3 in 100
	// datagrams are lost.
	sendsPerRelay = 2
	// MaxNoteBytes is the largest note, in bytes: it fits into a datagram with the overhead of a
	// bundle.
	MaxNoteBytes = digest.MaxBytes - digest.BundleOverhead - 32
)

// BroadcastNote sends a note to all live peers, through relays in a large fleet; most get it within
// some 50 ms. It returns false if the note is too large or the queue is full.
func (n *Node) BroadcastNote(data []byte) bool {
	n.init()
	if len(data) > MaxNoteBytes {
		return false
	}
	select {
	case n.notes <- data:
		return true
	default:
		return false
	}
}

func (n *Node) sendNote(data []byte, now time.Time) {
	n.noteSeq++
	note := &digest.Note{Key: n.ownKey, Seq: n.noteSeq, Data: data}
	raw, err := digest.EncodeNote(note)
	if err != nil {
		n.Logger.Error("cannot encode note", "bytes", len(data), "err", err)
		return
	}
	items := []digest.Item{{Note: note, Raw: raw}}
	if !n.peers.relayed() {
		n.sendBundle(&digest.Bundle{Reach: digest.ReachBox, Items: items}, n.peers.order)
		return
	}
	n.sendToRelays(items[0], true, now)
}

// sendToRelays sends an item to this box's relays, which may include this box, to be forwarded or
// as a heartbeat only.
func (n *Node) sendToRelays(item digest.Item, urgent bool, now time.Time) {
	relays := n.peers.relays(now)
	b := &digest.Bundle{Reach: digest.ReachFleet, Items: []digest.Item{item}}
	first := item.Note == nil && n.isFirst(&item)
	passed := first || isForwarded(&item)
	times := 1
	if passed {
		times = sendsPerRelay
	}
	for range times {
		n.sendBundle(b, relays)
	}
	for _, p := range relays {
		if p != n.peers.self {
			p.relay.markUsed(now)
			continue
		}
		n.presence.lastForwardRequest = now
		if passed {
			n.out.add(item, digest.ReachFleet, urgent || first, now)
		}
	}
}
