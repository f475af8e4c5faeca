package box

import (
	"time"

	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/freshness"
)

// onStoreContact is called after each answer of the store. Boxes that rely on this one ask the store
// themselves if they do not hear of its contacts in time.
func (b *Box) onStoreContact() {
	b.recordOwnContact()
	if b.election.Leads() {
		b.node.TriggerHeartbeat()
	}
}

// recordOwnContact records this box's last failure to reach the store and its last contact.
func (b *Box) recordOwnContact() {
	b.HeldUp.Check()
	s := b.election.Store()
	b.outages.RecordFailure(s.LastFailure)
	b.outages.RecordContact(s.LastContact)
	b.fresh.RecordOwn(s.LastContact)
}

// recordPeerContact records a peer's last contact with the store, or its failure to reach it.
func (b *Box) recordPeerContact(d *digest.Digest) {
	b.HeldUp.Check()
	now := b.Clock.Now()
	if d.StoreReachable && d.StoreAgeMs >= 0 {
		at := now.Add(-time.Duration(d.StoreAgeMs) * time.Millisecond)
		b.outages.RecordContact(at)
		b.fresh.RecordReport(at, freshness.Versions{Config: d.ConfigVersion, View: d.ViewRevision, Cordons: d.CordonRevision})
	} else if d.StoreTried {
		b.outages.RecordFailure(now)
	}
}

// onPeersChanged is called when peers are lost or regained.
func (b *Box) onPeersChanged(lost []string) {
	for _, box := range lost {
		b.peers.Forget(box)
		b.lag.Forget(box)
		b.engineLoad.ForgetPeer(box)
	}
	b.watcher.Wake()
}

// updateContact tells the parts that wait for it when some box reaches the store first.
func (b *Box) updateContact() {
	b.recordOwnContact()
	if b.election.RecentContact() {
		b.contactOnce.Do(func() { close(b.contact) })
	}
}
