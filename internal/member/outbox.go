package member

import (
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

// outbox holds the items that a relay has to forward.
type outbox struct {
	// domain goes to the boxes of this failure domain, fleet to relays of the others.
	domain, fleet []digest.Item
	// due is when the items are sent, zero if there are none; lastSent is when some last were.
	due, lastSent time.Time
	// minInterval is the least time between two urgent sends if it is more than flushInterval.
	minInterval time.Duration
}

// add queues an item. An urgent one is sent at once if none was sent within the interval.
func (o *outbox) add(item digest.Item, reach digest.Reach, urgent bool, now time.Time) {
	if reach == digest.ReachBox {
		return
	}
	due := now.Add(relayHoldTime)
	if urgent {
		due = later(now, o.lastSent.Add(max(flushInterval, o.minInterval)))
	}
	if o.due.IsZero() || due.Before(o.due) {
		o.due = due
	}
	o.domain = append(o.domain, item)
	if reach == digest.ReachFleet {
		o.fleet = append(o.fleet, item)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// flush sends the queued items if they are due.
func (n *Node) flush(now time.Time) {
	if n.out.due.IsZero() || now.Before(n.out.due) {
		return
	}
	domain, fleet := n.out.domain, n.out.fleet
	near := n.peers.domains[n.Self.Domain]
	n.out = outbox{lastSent: now, minInterval: time.Duration(len(near)) * flushPerBox}
	n.sendItems(domain, digest.ReachBox, near)
	if len(fleet) == 0 {
		return
	}
	for name := range n.peers.domains {
		if name != n.Self.Domain {
			n.sendItems(fleet, digest.ReachDomain, n.peers.relaysOf(name, now, n.Rand))
		}
	}
}

// sendItems sends items to peers, in as many bundles as they need.
func (n *Node) sendItems(items []digest.Item, reach digest.Reach, to []*peer) {
	for len(items) > 0 {
		size, count := digest.BundleOverhead, 0
		for count < len(items) && (count == 0 || size+len(items[count].Raw) <= digest.MaxBytes) {
			size += len(items[count].Raw)
			count++
		}
		n.sendBundle(&digest.Bundle{Reach: reach, Items: items[:count]}, to)
		items = items[count:]
	}
}

// sendBundle sends one bundle to peers.
func (n *Node) sendBundle(b *digest.Bundle, to []*peer) {
	b.From, b.Addr = n.Self.Name, n.Self.Addr
	data, err := digest.EncodeBundle(b)
	if err != nil {
		n.Logger.Error("cannot encode bundle", "items", len(b.Items), "err", err)
		return
	}
	for _, p := range to {
		if p != n.peers.self {
			n.send(data, p.addr)
		}
	}
}

// reportToRelays sends this box's report to its relays, or forwards it if the box is its own relay.
func (n *Node) reportToRelays(now time.Time) {
	n.due.reported = now
	item, urgent := n.nextItem(now)
	if item.Raw == nil {
		return
	}
	n.sendToRelays(item, urgent, now)
}

// nextItem makes the next digest or update of this box, and reports whether it is urgent. On
// failure it logs the error, and the item has no Raw.
func (n *Node) nextItem(now time.Time) (item digest.Item, urgent bool) {
	d := n.state(false)
	old := n.reported.last
	item.Update = n.reported.next(d, n.boxes(), now)
	var err error
	if item.Update != nil {
		item.Raw, err = digest.EncodeUpdate(item.Update)
	}
	if item.Update == nil || !fits(item.Raw, err) {
		item = digest.Item{Digest: d}
		item.Raw, err = n.encodeFitting(d)
	}
	if err != nil {
		n.Logger.Error("cannot encode state report", "err", err)
	}
	return item, n.isUrgent(&item, old)
}

// boxes returns the number of live boxes, including this one.
func (n *Node) boxes() int { return len(n.peers.order) + 1 }

// isUrgent reports whether an item carries more than its box's presence.
func (n *Node) isUrgent(item *digest.Item, old *digest.Digest) bool {
	if old == nil {
		return true
	}
	if item.Update != nil {
		return hasChanges(item.Update, old, n.boxes())
	}
	d := item.Digest
	return d.Incarnation != old.Incarnation || len(digest.Difference(old.Loads, d.Loads)) > 0 ||
		versionsChanged(old, d.Config(), d.ViewRevision, d.CordonRevision)
}

// isForwarded reports whether relays forward an item in any case. Otherwise they do so only if it
// is the first to carry a newer version.
func isForwarded(item *digest.Item) bool { return item.Update == nil || item.Update.Forward }

// receiveBundle takes the items and answers the requests of a bundle.
func (n *Node) receiveBundle(b *digest.Bundle) {
	now := n.Clock.Now()
	if p := n.peers.byName[b.From]; p != nil {
		p.relay.lastDirect = now
		if b.Reach == digest.ReachDomain {
			p.relay.lastForwarded = now
		}
	}
	if b.Reach == digest.ReachFleet {
		n.presence.lastForwardRequest = now
	}
	for _, item := range b.Items {
		switch {
		case item.Note != nil:
			n.pendingNotes = append(n.pendingNotes, pendingNote{from: n.nameOf(item.Note.Key), data: item.Note.Data})
			n.out.add(item, b.Reach, true, now)
		case item.Presence != nil:
			n.receivePresence(item.Presence, b, now)
			n.out.add(item, b.Reach, false, now)
		default:
			n.receiveState(&item, b, now)
		}
	}
	n.answerRequest(b)
}

// nameOf returns the name of the box with an incarnation key, "" if it is not known.
func (n *Node) nameOf(key uint64) string {
	if p := n.peers.byKey[key]; p != nil {
		return p.box.Name
	}
	return ""
}

// receiveState applies a digest or update, and forwards it if it is new.
func (n *Node) receiveState(item *digest.Item, b *digest.Bundle, now time.Time) {
	old := n.currentState(item)
	if !n.applyItem(item, b, now) {
		return
	}
	if first := n.isFirst(item); first || isForwarded(item) {
		n.out.add(*item, b.Reach, first || n.isUrgent(item, old), now)
	}
}

// currentState returns the known state of the live box that an item is of, or nil.
func (n *Node) currentState(item *digest.Item) *digest.Digest {
	var p *peer
	if item.Digest != nil {
		p = n.peers.byName[item.Digest.Box]
	} else {
		p = n.peers.byKey[item.Update.Key]
	}
	if p == nil || !p.live {
		return nil
	}
	return p.state
}

// applyItem applies a digest or update, and reports whether it was new.
func (n *Node) applyItem(item *digest.Item, b *digest.Bundle, now time.Time) bool {
	if item.Digest != nil {
		p, _ := n.applyDigest(item.Digest, now)
		return p != nil
	}
	u := item.Update
	p := n.peers.byKey[u.Key]
	if p == nil || !p.live {
		// The state kept of a lost box may be too old to update.
		n.requestDigest(u.Key, b, now)
		return false
	}
	if u.Seq <= p.seq {
		return false
	}
	n.applyDigest(u.Apply(p.state), now)
	return true
}
