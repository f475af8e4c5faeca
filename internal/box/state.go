package box

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/freshness"
	"github.com/dalebend/dalebend/internal/heldup"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/sendlog"
	"github.com/dalebend/dalebend/internal/staleness"
	"github.com/dalebend/dalebend/internal/storerev"
	"github.com/dalebend/dalebend/internal/viewshare"
)

// shouldWatchStore reports whether this box watches the store now, and logs changes.
func (b *Box) shouldWatchStore() bool {
	active, reason := b.election.Decide()
	if active != b.watching.Swap(active) {
		name := event.WatchGivenUp
		if active {
			name = event.WatchTaken
		}
		b.log(name, slog.String(event.KeyReason, reason), slog.Int(event.KeyLive, len(b.live())))
	}
	return active
}

// knownState returns the versions that this box has and their age.
func (b *Box) knownState() staleness.State {
	s := staleness.State{Age: -1}
	if t := b.share.Table(); t != nil {
		s.ConfigVersion = t.Version()
	}
	if v := b.share.View(); v != nil {
		s.ViewRevision = v.Revision
	}
	if at := b.fresh.Confirmed(); !at.IsZero() {
		s.Age = max(0, b.Clock.Since(at))
	}
	return s
}

// heldVersions returns the versions that this box has.
func (b *Box) heldVersions() freshness.Versions {
	v := freshness.Versions{Config: b.share.ConfigVersion().Number, Cordons: b.directory.Cordons().Revision}
	if view := b.share.View(); view != nil {
		v.View = view.Revision
	}
	return v
}

// onConfigRead is called with each configuration read from the store.
func (b *Box) onConfigRead(doc []byte, era int64) { b.share.OfferConfig(doc, era) }

// onServersRead is called with the entries of the backend servers read from the store.
func (b *Box) onServersRead(v registry.View) { b.share.OfferView(v) }

// onCordonsRead is called with the cordoned failure domains read from the store.
func (b *Box) onCordonsRead(c registry.Cordons) { b.applyCordons(c, viewshare.SourceStore) }

// applyCordons applies cordons if they are newer than the known ones, and publishes them: every box
// passes them on, so that one datagram from any box is enough.
func (b *Box) applyCordons(c registry.Cordons, source string) {
	before := b.directory.Cordons()
	if !b.directory.SetCordons(c) {
		return
	}
	b.fresh.RecordHeld(b.heldVersions())
	b.node.TriggerHeartbeat()
	if before.Revision > 0 && slices.Equal(before.Domains, c.Domains) {
		return
	}
	b.log(event.CordonsInForce, slog.Int64(event.KeyRevision, c.Revision.Number()), slog.Int64(event.KeyEra, c.Revision.Era()),
		slog.String(event.KeySource, source), slog.String(event.KeyDomains, strings.Join(c.Domains, " ")))
}

// onTable is called when a newer configuration is in force.
func (b *Box) onTable(t *routetable.Table) {
	b.fresh.RecordHeld(b.heldVersions())
	source, _ := b.share.Sources()
	b.log(event.ConfigInForce, staleness.Source(b.knownState).AppendConfigAge([]slog.Attr{
		slog.Int64(event.KeyVersion, t.Version()), slog.String(event.KeySource, source),
	})...)
	// Publishes at once. Configuration changes are rare, and all boxes get one sooner if more peers
	// are known to have it.
	b.node.TriggerHeartbeat()
}

// onView is called with newer entries of the backend servers.
func (b *Box) onView(v registry.View) {
	b.updateContact()
	b.outages.RecordView(b.Clock.Now())
	b.publishView()
	before := b.directory.View()
	b.directory.Set(&v)
	if before != nil && before.Revision.EarlierEra(v.Revision) {
		b.logStoreReturned(before.Revision, v.Revision)
	}
	b.lag.RecordOwn(v.Revision)
	b.fresh.RecordHeld(b.heldVersions())
	b.forgetGoneServers()
	b.gate.ServersChanged()
	b.logView(&v)
}

// logStoreReturned logs that the store came back from an older copy, with what is kept of the state before.
func (b *Box) logStoreReturned(before, now storerev.Revision) {
	b.Metrics.OrDiscard().StoreReturns.Inc()
	c := b.directory.EraChange()
	attrs := []slog.Attr{
		slog.Int64(event.KeyEra, now.Era()), slog.Int64(event.KeyEraBefore, before.Era()),
		slog.Int64(event.KeyRevision, now.Number()), slog.Int64(event.KeyRevisionBefore, before.Number()),
	}
	attrs = appendNames(attrs, event.KeyKeptServers, c.Kept)
	attrs = appendNames(attrs, event.KeyWithheld, c.Withheld)
	b.log(event.StoreReturned, attrs...)
}

// forgetInterval is the minimum time between two cleanups after removed servers. Each scans all
// state about servers, and while servers are replaced ten views arrive per second.
const forgetInterval = time.Second

// forgetGoneServers drops the state of servers that no longer exist.
func (b *Box) forgetGoneServers() {
	now := b.Clock.Now()
	if now.Sub(b.serversForgottenAt) < forgetInterval {
		return
	}
	b.serversForgottenAt = now
	b.evidence.Retain(b.directory.Known)
	b.decodeTime.Retain(b.directory.Known)
	b.prefillDemand.Retain(b.directory.Known)
	b.conditions.Retain(b.directory.Known)
	b.paths.Retain(b.directory.Known)
	b.sends.Retain(b.directory.Known)
}

// publishView sends the peers at once a view that this box read from the store, and its first view.
// Peers already have one that came from a peer: if each of hundreds of boxes sent it again, that
// would take most of their CPU time.
func (b *Box) publishView() {
	_, source := b.share.Sources()
	if publishedAtOnce(source, b.directory.View() == nil) {
		b.node.TriggerHeartbeat()
	}
}

// publishedAtOnce reports whether a view is published without waiting for the next heartbeat.
func publishedAtOnce(source string, first bool) bool { return first || source == viewshare.SourceStore }

// onServersLeft is called when backend servers start to leave or are gone.
func (b *Box) onServersLeft(ids []string) {
	for _, id := range ids {
		b.sends.RecordLeft(id, b.stateOf(id), b.share.Teller())
	}
	b.streams.Evacuate(ids)
}

// onServersJoined is called when backend servers become members.
func (b *Box) onServersJoined(ids []string) {
	for _, id := range ids {
		b.sends.RecordBack(id, b.share.Teller())
	}
}

// onServerLeaving is called when a backend server said in an answer that it leaves.
func (b *Box) onServerLeaving(id, source string) {
	b.sends.RecordLeft(id, sendlog.Declining, source)
}

// stateOf returns what is known of a server that has left.
func (b *Box) stateOf(id string) sendlog.State {
	switch s := b.directory.Lookup(id); {
	case s == nil:
		return sendlog.Gone
	case s.State == registry.Draining:
		return sendlog.Draining
	default:
		return sendlog.Departing
	}
}

// onHeldUp is called when the process was not run for a while.
func (b *Box) onHeldUp(d time.Duration) {
	b.outages.RecordPause(d)
	if long := b.HeldUp.LongPause; long > 0 && d >= long {
		b.fresh.RecordPause(b.Clock.Now())
		b.watcher.Reread()
	}
	b.log(event.HeldUp, slog.Int64(event.KeyAway, d.Milliseconds()))
}

// informedUntil returns until when this box knows all changes, zero if it must ask the store itself: what others
// report is not credible right after a long pause.
func (b *Box) informedUntil() time.Time {
	at := b.fresh.Confirmed()
	if b.HeldUp.Resumed().After(at) {
		return time.Time{}
	}
	return at
}

// caughtUp reports whether this box knows all changes until after a pause that ended at a time, or has found
// out that it does not reach the store. Calls that ran out in the pause don't show that.
func (b *Box) caughtUp(resumed time.Time) bool {
	return b.fresh.Confirmed().After(resumed) ||
		b.watcher.Status().LastFailure.After(resumed.Add(heldup.CatchUpTime))
}

// unreachable is the only cause of ejections in the metrics.
const unreachable = "unreachable"

// onServerChanged is called when a backend server is ejected or readmitted.
func (b *Box) onServerChanged(server string, ejected bool, cause string) {
	name := event.ServerReadmitted
	if ejected {
		name = event.ServerEjected
		b.Metrics.OrDiscard().Ejections.Inc(unreachable)
	}
	b.log(name, slog.String(event.KeyServer, server), slog.String(event.KeyCause, cause))
}

// log writes an event to the decision log.
func (b *Box) log(name event.Name, attrs ...slog.Attr) {
	b.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}
