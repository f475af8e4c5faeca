package box

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/accountshare"
	"github.com/dalebend/dalebend/internal/belief"
	"github.com/dalebend/dalebend/internal/comeback"
	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/quarantine"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/viewshare"
)

// troubleAge is how long a failure of a backend server is told to peers: as long as
// the longest time for which a box itself does without the server.
const troubleAge = 3 * time.Second

// Kinds of trouble that boxes tell each other of.
const (
	// troubleFailed is a backend server that could not be reached or failed.
	troubleFailed uint8 = iota
	// troubleDeparts is an engine that said itself that it is about to end.
	troubleDeparts
)

// follows reports whether this box follows the store now.
func (b *Box) follows() bool {
	active, reason := b.duty.Decide()
	if active != b.following.Swap(active) {
		name := event.WatchGivenUp
		if active {
			name = event.WatchTaken
		}
		b.log(name, slog.String(event.KeyReason, reason), slog.Int(event.KeyLive, len(b.live())))
	}
	return active
}

// beliefs tells what this box has and how old it may be.
func (b *Box) beliefs() belief.State {
	s := belief.State{Age: -1}
	if t := b.share.Table(); t != nil {
		s.ConfigVersion = t.Version()
	}
	if v := b.share.View(); v != nil {
		s.ViewRevision = v.Revision
	}
	contact := b.watcher.Status().LastContact
	if at := b.peerContact.Load(); at.After(contact) {
		contact = at
	}
	if !contact.IsZero() {
		s.Age = max(0, b.Clock.Since(contact))
	}
	return s
}

// notePeerContact keeps when a peer was in contact with the store.
func (b *Box) notePeerContact(d *digest.Digest) {
	if !d.StoreReachable || d.StoreAgeMs < 0 {
		return
	}
	at := b.Clock.Now().Add(-time.Duration(d.StoreAgeMs) * time.Millisecond)
	if at.After(b.peerContact.Load()) {
		b.peerContact.Store(at)
	}
}

// configRead takes a configuration from the store.
func (b *Box) configRead(doc []byte) { b.share.OfferConfig(doc) }

// serversRead takes the entries of the backend servers from the store.
func (b *Box) serversRead(v registry.View) { b.share.OfferView(v) }

// cordonsRead takes the cordoned failure domains from the store.
func (b *Box) cordonsRead(c registry.Cordons) { b.takeCordons(c, viewshare.FromStore) }

// takeCordons takes cordons if they are newer than those known, and tells the peers: every
// box tells them again, so that one datagram of any of them is enough.
func (b *Box) takeCordons(c registry.Cordons, source string) {
	before := b.directory.Cordons()
	if !b.directory.SetCordons(c) {
		return
	}
	b.node.Kick()
	if before.Revision > 0 && slices.Equal(before.Domains, c.Domains) {
		return
	}
	b.log(event.CordonsInForce, slog.Int64(event.KeyRevision, c.Revision),
		slog.String(event.KeySource, source), slog.String(event.KeyDomains, strings.Join(c.Domains, " ")))
}

// tableInForce is told of a newer configuration.
func (b *Box) tableInForce(t *routetable.Table) {
	source, _ := b.share.Sources()
	b.log(event.ConfigInForce, belief.Source(b.beliefs).AppendConfigAge([]slog.Attr{
		slog.Int64(event.KeyVersion, t.Version()), slog.String(event.KeySource, source),
	})...)
	// Configurations are rare, and the more boxes are known to have one the sooner all do.
	b.node.Kick()
}

// viewInForce is told of newer entries of the backend servers.
func (b *Box) viewInForce(v registry.View) {
	if b.noteFailure() && !b.duty.Recent() {
		// Newer entries than before, after a failure and with nobody known to be in
		// contact: the store has just returned.
		b.returnedAt.Store(b.Clock.Now())
	}
	b.noteContact()
	b.tellView()
	b.directory.Set(&v)
	b.evidence.Retain(b.directory.Known)
	b.tempo.Retain(b.directory.Known)
	b.prefill.Retain(b.directory.Known)
	b.gate.ServersChanged()
	b.logView(&v)
}

// tellView tells the peers at once of a view that this box read from the store, and of its
// first one. What it has from a peer they have heard from that one: when each of hundreds of boxes tells
// it again, that takes most of their processor time.
func (b *Box) tellView() {
	_, source := b.share.Sources()
	if toldAtOnce(source, b.directory.View() == nil) {
		b.node.Kick()
	}
}

// toldAtOnce reports whether a view is told to peers out of turn.
func toldAtOnce(source string, first bool) bool { return first || source == viewshare.FromStore }

// spreadChange tells all peers of a change of the servers that was read from the store. If
// that fails they learn from the next heartbeat that there is one, and fetch it.
func (b *Box) spreadChange(change []byte) {
	if !b.node.Spread(change) {
		b.Logger.Warn("change of the servers is not spread", "bytes", len(change))
	}
}

// spread tells all peers which callers may come back first, what accounts took, or under which
// requests servers ended. It need not reach them: they decide by what they know, and what must be
// known is told again.
func (b *Box) spread(note []byte) { b.node.Spread(note) }

// noted takes a note of a peer.
func (b *Box) noted(note []byte) {
	switch {
	case comeback.IsNote(note):
		b.comeBack.Noted(note)
	case accountshare.IsNote(note):
		b.shares.Noted(note)
	case quarantine.IsNote(note):
		b.quarantine.Noted(note)
	default:
		b.share.TakeChange(note)
	}
}

// serversLeft is told of backend servers that have begun to leave or are gone.
func (b *Box) serversLeft(ids []string) {
	b.streams.Left(ids)
}

// unreachable is the one cause of ejections in the metrics.
const unreachable = "unreachable"

// serverChanged is told of a backend server that was ejected or readmitted.
func (b *Box) serverChanged(server string, ejected bool, cause string) {
	name := event.ServerReadmitted
	if ejected {
		name = event.ServerEjected
		b.Metrics.OrUnseen().Ejections.Inc(unreachable)
	}
	b.log(name, slog.String(event.KeyServer, server), slog.String(event.KeyCause, cause))
}

// tell fills a digest with what this box tells its peers.
func (b *Box) tell(d *digest.Digest) {
	if t := b.share.Table(); t != nil {
		d.ConfigVersion = t.Version()
	}
	if v := b.share.View(); v != nil {
		d.ViewRevision = v.Revision
	}
	cordons := b.directory.Cordons()
	d.CordonRevision, d.Cordoned = cordons.Revision, cordons.Domains
	s := b.watcher.Status()
	d.StoreReachable = s.Reachable
	d.StoreTried = s.Reachable || b.duty.Refused()
	d.StoreAgeMs = -1
	if !s.LastContact.IsZero() {
		d.StoreAgeMs = int32(b.Clock.Since(s.LastContact).Milliseconds())
	}
	d.Leaving = b.stopping.Load()
	d.Loads = b.ledger.Own()
	d.Attempts = b.budget.Own()
	b.evidence.Failures(troubleAge, func(server string, age time.Duration) {
		d.Troubles = append(d.Troubles, digest.Trouble{Server: server, AgeMs: int32(age.Milliseconds()), Kind: troubleFailed})
	})
	b.directory.Departing(func(server string, age time.Duration) {
		if age < troubleAge {
			d.Troubles = append(d.Troubles, digest.Trouble{Server: server, AgeMs: int32(age.Milliseconds()), Kind: troubleDeparts})
		}
	})
}

// heard takes what a peer tells.
func (b *Box) heard(d *digest.Digest) {
	changed := b.peers.Heard(d)
	b.takeCordons(registry.Cordons{Revision: d.CordonRevision, Domains: d.Cordoned}, d.Box)
	b.notePeerContact(d)
	if d.StoreTried && !d.StoreReachable {
		b.sawFailure.Store(true)
	}
	b.noteContact()
	b.starts.Add(b.ledger.Heard(d.Box, d.Loads))
	b.heardPace(d.Loads)
	b.budget.Heard(d.Box, d.Attempts)
	b.heardTroubles(d.Troubles)
	b.share.Heard(d)
	b.wakeWatcher(changed)
}

// heardPace takes what a peer tells of the pace of engines.
func (b *Box) heardPace(loads []digest.Load) {
	for i := range loads {
		b.tempo.Heard(loads[i].Server, loads[i].Pace)
	}
}

// wakeInterval is the least time between two questions whether this box is to follow the
// store that are caused by heartbeats without news of it. Hundreds come each second, and what
// the question finds without news, that a contact is too old, takes seconds.
const wakeInterval = 100 * time.Millisecond

// wakeWatcher makes the watcher ask whether to follow the store, at once after news.
func (b *Box) wakeWatcher(news bool) {
	now := b.Clock.Now()
	if !news && now.Sub(b.wokeWatcher.Load()) < wakeInterval {
		return
	}
	b.wokeWatcher.Store(now)
	b.watcher.Wake()
}

// unseenStarts returns how many generations other boxes are expected to have started that
// this box has not heard of yet.
func (b *Box) unseenStarts() float64 { return b.starts.PerSecond() * b.node.Lag().Seconds() }

// heardTroubles takes what a peer tells of backend servers.
func (b *Box) heardTroubles(troubles []digest.Trouble) {
	for _, t := range troubles {
		switch t.Kind {
		case troubleDeparts:
			b.directory.Depart(t.Server)
		default:
			b.evidence.PeerSaw(t.Server, time.Duration(t.AgeMs)*time.Millisecond)
		}
	}
}

// peersChanged is told that a peer was lost or regained.
func (b *Box) peersChanged() {
	live := make(map[string]bool)
	for _, m := range b.live() {
		live[m.Name] = true
	}
	for _, gone := range b.peers.Retain(func(box string) bool { return live[box] }) {
		b.ledger.Forget(gone)
	}
	b.watcher.Wake()
}

// noteContact notes when the store was found again, by this box or by a peer:
// after none had been in contact with it, and one had tried in vain. A gap
// without a failure only means that the box that follows the store has changed.
func (b *Box) noteContact() {
	failed := b.noteFailure()
	recent := b.duty.Recent()
	if recent == b.lastContact.Swap(recent) || !recent {
		return
	}
	b.contactOnce.Do(func() { close(b.contact) })
	if failed {
		b.returnedAt.Store(b.Clock.Now())
		b.sawFailure.Store(false)
	}
}

// noteFailure notes whether this box itself failed to reach the store, and
// reports whether any box did.
func (b *Box) noteFailure() bool {
	if b.duty.Refused() {
		b.sawFailure.Store(true)
	}
	return b.sawFailure.Load()
}

// log writes one line of the decision log.
func (b *Box) log(name event.Name, attrs ...slog.Attr) {
	b.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}
