package member

import (
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

// outbox holds what a relay is to pass on.
type outbox struct {
	// domain goes to the boxes of this failure domain, fleet to relays of the others.
	domain, fleet []digest.Item
	// due is when it is sent, zero when it is empty; sent is when that last was.
	due, sent time.Time
	// apart is the least time between two times that something urgent is sent, if that is more than
	// flushInterval.
	apart time.Duration
}

// add takes an item that is to reach others. What is urgent and comes after a pause is
// sent at once.
func (o *outbox) add(item digest.Item, reach digest.Reach, urgent bool, now time.Time) {
	if reach == digest.ReachBox {
		return
	}
	due := now.Add(restInterval)
	if urgent {
		due = later(now, o.sent.Add(max(flushInterval, o.apart)))
	}
	if o.due.IsZero() || due.Before(o.due) {
		o.due = due
	}
	o.domain = append(o.domain, item)
	if reach == digest.ReachFleet {
		o.fleet = append(o.fleet, item)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// flush sends what is to be passed on, if that is due.
func (n *Node) flush(now time.Time) {
	if n.out.due.IsZero() || now.Before(n.out.due) {
		return
	}
	domain, fleet := n.out.domain, n.out.fleet
	near := n.peers.domains[n.Self.Domain]
	n.out = outbox{sent: now, apart: time.Duration(len(near)) * flushPerBox}
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

// sendItems sends items to some peers, in as many bundles as they need.
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

// sendBundle sends one bundle to some peers.
func (n *Node) sendBundle(b *digest.Bundle, to []*peer) {
	b.From, b.Addr = n.Self.Name, n.Self.Addr
	data, err := digest.EncodeBundle(b)
	if err != nil {
		n.Logger.Error("no bundle", "items", len(b.Items), "err", err)
		return
	}
	for _, p := range to {
		if p != n.peers.self {
			n.send(data, p.addr)
		}
	}
}

// tell passes what this box has to tell to its relays, or is its own relay.
func (n *Node) tell(now time.Time) {
	n.due.told = now
	item, urgent := n.ownNews(now)
	if item.Raw == nil {
		return
	}
	n.sendToRelays(item, urgent, now)
}

// ownNews makes the next digest or update of this box, and tells whether it says more than
// that the box is there. It has no Raw, after a line that says why, if there is none.
func (n *Node) ownNews(now time.Time) (item digest.Item, urgent bool) {
	d := n.state(false)
	old := n.told.last
	item.Update = n.told.next(d, n.boxes(), now)
	var err error
	if item.Update == nil {
		item.Digest = d
		item.Raw, err = n.fit(d)
	} else {
		item.Raw, err = digest.EncodeUpdate(item.Update)
	}
	if err != nil {
		n.Logger.Error("nothing told", "err", err)
	}
	return item, n.isNews(&item, old)
}

// boxes returns the number of live boxes, this one among them.
func (n *Node) boxes() int { return len(n.peers.order) + 1 }

// isNews reports whether an item says more of a box than that it is there.
func (n *Node) isNews(item *digest.Item, old *digest.Digest) bool {
	if old == nil {
		return true
	}
	if item.Update != nil {
		return saysMore(item.Update, old, n.boxes())
	}
	d := item.Digest
	return d.Incarnation != old.Incarnation || len(digest.Difference(old.Loads, d.Loads)) > 0 ||
		knowsMore(old, d.ConfigVersion, d.ViewRevision, d.CordonRevision)
}

// passes reports whether relays pass on what a box tells of itself. Besides, they do so with the first
// that they hear of a newer version.
func passes(item *digest.Item) bool { return item.Update == nil || item.Update.Pass }

// takeBundle takes what others tell of themselves and of others.
func (n *Node) takeBundle(b *digest.Bundle) {
	now := n.Clock.Now()
	if p := n.peers.byName[b.From]; p != nil {
		p.relay.direct = now
		if b.Reach == digest.ReachDomain {
			p.relay.passed = now
		}
	}
	if b.Reach == digest.ReachFleet {
		n.rolls.asked = now
	}
	for _, item := range b.Items {
		switch {
		case item.Note != nil:
			n.noted = append(n.noted, item.Note.Data)
			n.out.add(item, b.Reach, true, now)
		case item.Roll != nil:
			n.takeRoll(item.Roll, b, now)
			n.out.add(item, b.Reach, false, now)
		default:
			n.takeState(&item, b, now)
		}
	}
	n.answerWanted(b)
}

// takeState takes what a bundle tells of one box, and passes on what is new.
func (n *Node) takeState(item *digest.Item, b *digest.Bundle, now time.Time) {
	old := n.heldOf(item)
	if !n.takeItem(item, b, now) {
		return
	}
	if first := n.isFirst(item); first || passes(item) {
		n.out.add(*item, b.Reach, first || n.isNews(item, old), now)
	}
}

// heldOf returns what is held of the box that an item tells of, or nil.
func (n *Node) heldOf(item *digest.Item) *digest.Digest {
	var p *peer
	if item.Digest != nil {
		p = n.peers.byName[item.Digest.Box]
	} else {
		p = n.peers.byStart[item.Update.Start]
	}
	if p == nil || !p.live {
		return nil
	}
	return p.state
}

// takeItem takes what a bundle tells of one box, and reports whether it was new.
func (n *Node) takeItem(item *digest.Item, b *digest.Bundle, now time.Time) bool {
	if item.Digest != nil {
		p, _ := n.take(item.Digest, now)
		return p != nil
	}
	u := item.Update
	p := n.peers.byStart[u.Start]
	if p == nil || !p.live {
		// What is kept of a box that was away may be old.
		n.want(u.Start, b, now)
		return false
	}
	if u.Seq <= p.seq {
		return false
	}
	n.take(u.Apply(p.state), now)
	return true
}
