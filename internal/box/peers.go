package box

import (
	"time"

	"github.com/dalebend/dalebend/internal/accountshare"
	"github.com/dalebend/dalebend/internal/departure"
	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/quarantine"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/retrypriority"
	"github.com/dalebend/dalebend/internal/serverlimit"
)

// failureAge is how long a failure of a backend server is published to peers: the longest time for
// which a box itself avoids the server.
const failureAge = 3 * time.Second

// Values of Kind in a digest's troubles.
const (
	// kindFailed is a backend server that was unreachable or failed.
	kindFailed uint8 = iota
	// kindLeaving is an engine that reported it is about to end.
	kindLeaving
)

// broadcastChange sends a change of the servers, read from the store, to all peers. If that fails
// they learn of the new version from the next heartbeat, and fetch it.
func (b *Box) broadcastChange(change []byte) {
	if !b.node.BroadcastNote(change) {
		b.Logger.Warn("server change could not be broadcast", "bytes", len(change))
	}
}

// broadcastNote sends a note of one of the trackers (refused callers, account usage, quarantine,
// server limits, departures) to all peers. Delivery isn't guaranteed: a peer decides by what it
// has, and the trackers repeat what peers must have.
func (b *Box) broadcastNote(note []byte) { b.node.BroadcastNote(note) }

// receiveNote passes a peer's note to its tracker.
func (b *Box) receiveNote(from string, note []byte) {
	switch {
	case retrypriority.IsNote(note):
		b.retryPriority.ReceiveNote(note)
	case accountshare.IsNote(note):
		b.accountShares.ReceiveNote(note)
	case quarantine.IsNote(note):
		b.quarantine.ReceiveNote(note)
	case serverlimit.IsNote(note):
		b.serverLimits.ReceiveNote(note)
	case departure.IsNote(note):
		b.departures.ReceiveNote(note)
	default:
		b.share.ReceiveChange(from, note)
	}
}

// fillDigest fills in what this box publishes to its peers.
func (b *Box) fillDigest(d *digest.Digest) {
	config := b.share.ConfigVersion()
	d.ConfigVersion, d.ConfigEra = config.Number, config.Era
	if v := b.share.View(); v != nil {
		d.ViewRevision = v.Revision
	}
	cordons := b.directory.Cordons()
	d.CordonRevision, d.Cordoned = cordons.Revision, cordons.Domains
	s := b.watcher.Status()
	d.StoreReachable = s.Reachable
	d.StoreTried = s.Reachable || b.election.StoreFailed()
	d.StoreAgeMs = -1
	if !s.LastContact.IsZero() {
		d.StoreAgeMs = int32(b.Clock.Since(s.LastContact).Milliseconds())
	}
	d.Leaving = b.stopping.Load()
	d.Loads = b.engineLoad.OwnLoads()
	d.Attempts = b.retryBudget.LocalAttempts()
	b.reportFailures(d)
	b.directory.Departing(func(server string, age time.Duration) {
		if age < failureAge {
			d.Troubles = append(d.Troubles, digest.ServerFailure{Server: server, AgeMs: int32(age.Milliseconds()), Kind: kindLeaving})
		}
	})
}

// reportFailures adds the servers that failed for this box. A box without paths to servers reports
// none: its failures tell nothing about the servers.
func (b *Box) reportFailures(d *digest.Digest) {
	if b.reach.Isolated() {
		return
	}
	b.evidence.VisitFailures(failureAge, func(server string, age time.Duration) {
		d.Troubles = append(d.Troubles, digest.ServerFailure{Server: server, AgeMs: int32(age.Milliseconds()), Kind: kindFailed})
	})
}

// receiveDigest applies a peer's digest.
func (b *Box) receiveDigest(d *digest.Digest) {
	changed := b.peers.Update(d)
	b.applyCordons(registry.Cordons{Revision: d.CordonRevision, Domains: d.Cordoned}, d.Box)
	b.recordPeerContact(d)
	b.lag.RecordPeer(d.Box, d.ViewRevision)
	b.updateContact()
	b.startRate.Add(b.engineLoad.UpdatePeer(d.Box, d.Loads))
	b.receiveDecodeTimes(d.Loads)
	b.retryBudget.Update(d.Box, d.Attempts)
	b.receiveFailures(d.Troubles)
	b.share.Receive(d)
	b.wakeWatcher(changed)
}

// receiveDecodeTimes applies a peer's decode times of engines.
func (b *Box) receiveDecodeTimes(loads []digest.Load) {
	for i := range loads {
		b.decodeTime.Receive(loads[i].Server, loads[i].Pace)
	}
}

// wakeInterval is the minimum time between two watch decisions triggered by heartbeats without a
// change. Hundreds arrive each second, and without a change the decision only depends on contacts
// becoming too old, which takes seconds.
const wakeInterval = 100 * time.Millisecond

// wakeWatcher makes the watcher decide whether to watch the store, at once after a change.
func (b *Box) wakeWatcher(changed bool) {
	now := b.Clock.Now()
	if !changed && now.Sub(b.watcherWokenAt.Load()) < wakeInterval {
		return
	}
	b.watcherWokenAt.Store(now)
	b.watcher.Wake()
}

// unseenPlacements estimates how many generations other boxes have started without this box having
// received it yet.
func (b *Box) unseenPlacements() float64 {
	return b.startRate.PerSecond() * b.node.PropagationDelay().Seconds()
}

// receiveFailures applies a peer's reports on backend servers.
func (b *Box) receiveFailures(troubles []digest.ServerFailure) {
	for _, t := range troubles {
		switch t.Kind {
		case kindLeaving:
			b.directory.MarkDeparting(t.Server)
		default:
			b.evidence.RecordPeerFailure(t.Server, time.Duration(t.AgeMs)*time.Millisecond)
		}
	}
}
