package registry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/cowmap"
)

// lapseGrace is how long an entry that vanished during a store outage, or that the copy lacks from which the
// store came back, stays in use after the store returns. Live servers write their entries again within about two seconds; the remainder is for a
// request in flight to reach the server.
const lapseGrace = 1800 * time.Millisecond

// Directory decides which backend servers may get new work, from the store's view, the cordons, and
// what servers report themselves. Reads take no lock. Applying a newer view costs time in
// proportion to the number of changed servers, not to the number of servers. Set the exported
// fields before use.
type Directory struct {
	Clock clockwork.Clock
	// StoreReturned returns when the store was last reached again after an outage; zero if there
	// was no outage.
	StoreReturned func() time.Time
	// OnLeft, if set, is called with the servers that have just begun to leave or are gone.
	OnLeft func(ids []string)
	// OnJoined, if set, is called with the servers that have just become members.
	OnJoined func(ids []string)
	// ColdTime, if set, returns how long a server of a service is cold after its start.
	ColdTime func(service string) time.Duration
	// ContinueGrace is how long after a server was last known to stay the work that it holds may still go on
	// there; 0 means 1 s.
	ContinueGrace time.Duration
	// Confirmed returns until when all changes of the view are known, zero for never. Nil means now. It is
	// called before OnLeft.
	Confirmed func() time.Time

	mu sync.Mutex
	// departing holds instances that reported when they end; declining holds those that reported
	// that they leave and want no new work. The values are the times of the reports. The view may
	// be older than these reports.
	departing, declining map[string]time.Time
	// drained holds the instances whose entries said that they leave, with the times of that. It is final: an
	// entry that says otherwise later was written before, and delayed.
	drained map[string]time.Time
	// cold maps instances to the time at which they stop being cold. Guarded by mu.
	cold map[string]time.Time
	// instances holds, by server name, the newest known instance of each server whose entry is
	// missing or belongs to an earlier instance. For all other servers the entry is the newest
	// instance.
	instances map[string]instance
	// leftAt is until when instances that left were known to stay, within ContinueGrace. Guarded by mu.
	leftAt map[string]time.Time
	// rebuiltAt is when the current listing was built.
	rebuiltAt time.Time
	current   atomic.Pointer[listing]
	// cordons are the newest ones of the store, inForce those that are applied.
	cordons, inForce atomic.Pointer[Cordons]
	// gone holds the instances that have gone, with the times of that.
	gone map[string]time.Time
	// eraBegan is when the store last came back from an older copy, zero if it did not. withheld holds, by
	// server name, the entries of that copy whose instances had gone, carried the cordons of before.
	eraBegan time.Time
	withheld map[string]Server
	carried  *carriedCordons
}

// Set applies a newer view.
func (d *Directory) Set(v *View) {
	d.mu.Lock()
	c := d.rebuild(v)
	d.mu.Unlock()
	d.notify(c)
}

// changes are the instances that a rebuild removed from the members and added to them.
type changes struct{ left, joined []string }

// notify calls OnLeft and OnJoined.
func (d *Directory) notify(c changes) {
	if len(c.left) > 0 && d.OnLeft != nil {
		d.OnLeft(c.left)
	}
	if len(c.joined) > 0 && d.OnJoined != nil {
		d.OnJoined(c.joined)
	}
}

// SetCordons applies newer cordons, and reports whether they were newer than the known ones.
// Running requests in a cordoned domain may finish: its servers do not count as having left.
func (d *Directory) SetCordons(c Cordons) bool {
	d.mu.Lock()
	before := d.Cordons()
	if c.Revision <= before.Revision {
		d.mu.Unlock()
		return false
	}
	now := d.Clock.Now()
	if before.Revision > 0 && before.Revision.EarlierEra(c.Revision) {
		d.carryCordons(c, now)
	}
	d.cordons.Store(&c)
	d.updateCordons(now)
	var ch changes
	if v := d.View(); v != nil {
		ch = d.rebuild(v)
	}
	d.mu.Unlock()
	d.notify(ch)
	return true
}

// Cordons returns the newest cordons of the store, with revision 0 if none are known.
func (d *Directory) Cordons() Cordons {
	if c := d.cordons.Load(); c != nil {
		return *c
	}
	return Cordons{}
}

// Cordoned reports whether the servers of a failure domain get no new work.
func (d *Directory) Cordoned(domain string) bool { return d.cordonsInForce().Has(domain) }

// rebuild replaces the listing by one for the given view, and returns what changed. reported are the
// instances that have just reported something. The lock must be held, so that an older view never
// replaces a newer one.
func (d *Directory) rebuild(v *View, reported ...string) (c changes) {
	now := d.Clock.Now()
	d.pruneReports()
	d.pruneCold(now)
	d.pruneLeft(now)
	old := d.current.Load()
	if old == nil {
		old = &listing{}
	}
	stayed := now
	if len(reported) == 0 {
		stayed = d.staying(now)
	}
	if old.view != nil && old.view.Revision.EarlierEra(v.Revision) {
		d.beginEra(old.view, v, now)
	}
	e := newEdit(old, v, d.cordonsInForce())
	for _, name := range d.affected(old, v, reported) {
		before, _ := old.members.Get(name)
		after := d.applyEntry(e, name, before, now)
		d.updateGone(e, name, before, after, now)
		e.replace(before, after)
		if before != nil && (after == nil || after.ID != before.ID) {
			c.left = append(c.left, before.ID)
			d.recordLeft(before, stayed)
		}
		if after != nil && (before == nil || after.ID != before.ID) {
			c.joined = append(c.joined, after.ID)
		}
	}
	d.current.Store(e.listing())
	d.rebuiltAt = now
	return c
}

// affected returns, sorted, the names of the servers whose member may differ between the old
// listing and the given view.
func (d *Directory) affected(old *listing, v *View, reported []string) []string {
	names := make(map[string]bool)
	for change := range cowmap.Diff(old.servers(), v.Servers) {
		names[change.Key] = true
	}
	for name := range d.instances {
		names[name] = true
	}
	for _, name := range old.lapsed {
		names[name] = true
	}
	for _, id := range reported {
		for _, name := range possibleNames(id) {
			names[name] = true
		}
	}
	for name := range d.withheld {
		names[name] = true
	}
	if in := d.cordonsInForce(); old.cordons.Revision != in.Revision || !slices.Equal(old.cordons.Domains, in.Domains) {
		for name := range old.members.All() {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// applyEntry applies the view's entry of a server, and returns the resulting member, nil if it is
// none. before is the previous member; if its entry vanished during a store outage it stays a
// member for lapseGrace after the store's return. The lock must be held.
func (d *Directory) applyEntry(e *edit, name string, before *Member, now time.Time) *Member {
	s, exists := d.resolveEntry(e, name, now)
	if !exists {
		until := d.storeReturned().Add(lapseGrace)
		if before == nil || d.isDeparting(before.ID) || before.lapsed(now) || !now.Before(until) {
			return nil
		}
		return d.member(before.Server, until)
	}
	d.updateCold(e.old, &s, now)
	if s.State != Ready || d.isDeparting(s.ID) || d.hasDrained(s.ID) || d.isWithheld(name, &s, now) {
		return nil
	}
	return d.member(&s, time.Time{})
}

// isDeparting reports whether an instance reported when it ends. The lock must be held.
func (d *Directory) isDeparting(id string) bool {
	_, departs := d.departing[id]
	return departs
}

// hasDrained reports whether an entry of an instance said that it leaves. The lock must be held.
func (d *Directory) hasDrained(id string) bool {
	_, drained := d.drained[id]
	return drained
}

// member returns the member for a server; until is its LapsesAt. The lock must be held.
func (d *Directory) member(s *Server, until time.Time) *Member {
	_, declines := d.declining[s.ID]
	return &Member{Server: s, LapsesAt: until, ColdUntil: d.cold[s.ID], Declines: declines}
}

// Service returns the servers of a service that may get new work, sorted by id, those whose entries
// have vanished last. The slice must not be modified.
func (d *Directory) Service(name string) []*Member {
	l := d.current.Load()
	if l == nil {
		return nil
	}
	if len(l.lapsed) > 0 {
		return unexpired(l.services[name], d.Clock.Now())
	}
	return l.services[name]
}

// Takes reports whether a server may get new work.
func (d *Directory) Takes(id string) bool {
	l := d.current.Load()
	m := l.member(id)
	return m != nil && l.acceptsNew(m) && !m.lapsed(d.Clock.Now())
}

// CanContinue reports whether running requests may continue on a server: true if it accepts new
// work or only declines that.
func (d *Directory) CanContinue(id string) bool {
	l := d.current.Load()
	m := l.member(id)
	return m != nil && !l.cordons.Has(m.Domain) && !m.lapsed(d.Clock.Now())
}

// Stays reports whether a server is a member, that is, neither leaving nor gone. Servers of a
// cordoned domain stay, and so do servers that decline new work until their end is known, although
// neither get new work.
func (d *Directory) Stays(id string) bool {
	m := d.current.Load().member(id)
	return m != nil && !m.lapsed(d.Clock.Now())
}

// Lookup returns the server with an instance id, also one that gets no new work, or nil.
func (d *Directory) Lookup(id string) *Server {
	l := d.current.Load()
	if m := l.member(id); m != nil {
		return m.Server
	}
	return l.entry(id)
}

// DomainOf returns the failure domain of an instance, or "" if it is unknown.
func (d *Directory) DomainOf(id string) string {
	if s := d.Lookup(id); s != nil {
		return s.Domain
	}
	return ""
}

// Known reports whether an instance has an entry in the newest view, in any state, or is a member.
func (d *Directory) Known(id string) bool {
	l := d.current.Load()
	return l != nil && (l.member(id) != nil || l.hasEntry(id))
}

// View returns the newest view, or nil.
func (d *Directory) View() *View {
	if l := d.current.Load(); l != nil {
		return l.view
	}
	return nil
}
