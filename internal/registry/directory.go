package registry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// lapseGrace is how long an entry that vanished while the store was away is
// still used after the store's return. Servers that live write theirs again
// within about two seconds; the rest of that time is left for a request to get
// there.
const lapseGrace = 1800 * time.Millisecond

// Directory tells which backend servers may take new work. Reading takes no
// lock. Set the exported fields before use.
type Directory struct {
	Clock clockwork.Clock
	// StoreReturned returns when the store was last found again after an outage;
	// zero if there was none.
	StoreReturned func() time.Time
	// Left, if set, is told of servers that have just begun to leave or are gone.
	Left func(ids []string)
	// ColdTime, if set, returns how long a server of a service is cold after its start.
	ColdTime func(service string) time.Duration

	mu sync.Mutex
	// departing holds servers that said themselves when they end, and declining those that said that they
	// leave and want no new work, with the time when that was noted. The view may be older.
	departing, declining map[string]time.Time
	// cold holds servers that are cold, and until when. The lock guards it.
	cold map[string]time.Time
	// starts holds the newest start of each server, by the server's own id.
	starts  map[string]start
	current atomic.Pointer[listing]
	cordons atomic.Pointer[Cordons]
}

// listing is what follows from one view and the cordons.
type listing struct {
	view    *View
	cordons Cordons
	// entries are those of the view with the starts that count, by the servers' own ids, and
	// ids names them.
	entries map[string]Server
	ids     map[string]bool
	// services holds those that may take new work, members those of cordoned domains and those that
	// decline it too.
	services map[string][]Member
	members  map[string]Member
}

// Member is a server that may take new work unless its failure domain is cordoned or it declines that.
type Member struct {
	*Server
	// Until is when an entry that has vanished is given up; zero for one that stands.
	Until time.Time
	// ColdUntil is until when the server is cold; zero for one that was not when the view came.
	ColdUntil time.Time
	// Declines is set for one that wants no new work, by its own word. What runs there goes on.
	Declines bool
}

// Cold reports whether the server is cold.
func (m *Member) Cold(now time.Time) bool { return now.Before(m.ColdUntil) }

// Set takes a newer view.
func (d *Directory) Set(v *View) {
	d.mu.Lock()
	left := d.replace(v)
	d.mu.Unlock()
	d.tell(left)
}

// tell tells of servers that have just begun to leave or are gone.
func (d *Directory) tell(left []string) {
	if len(left) > 0 && d.Left != nil {
		d.Left(left)
	}
}

// SetCordons takes newer cordons, and reports whether they are newer than what was known.
// What runs in a cordoned domain may end: its servers do not count as having left.
func (d *Directory) SetCordons(c Cordons) bool {
	d.mu.Lock()
	if c.Revision <= d.Cordons().Revision {
		d.mu.Unlock()
		return false
	}
	d.cordons.Store(&c)
	var left []string
	if v := d.View(); v != nil {
		left = d.replace(v)
	}
	d.mu.Unlock()
	d.tell(left)
	return true
}

// Cordons returns the newest cordons, of revision 0 if none are known.
func (d *Directory) Cordons() Cordons {
	if c := d.cordons.Load(); c != nil {
		return *c
	}
	return Cordons{}
}

// Cordoned reports whether the servers of a failure domain are to get no more work.
func (d *Directory) Cordoned(domain string) bool { return d.Cordons().Has(domain) }

// replace puts what follows from a view in the place of the present listing, and returns
// the servers that leave with that. The lock must be held, so that no view is replaced by
// an older one.
func (d *Directory) replace(v *View) (left []string) {
	old := d.current.Load()
	d.forgetWords()
	entries := d.settled(v)
	d.noteCold(old, entries)
	next := &listing{
		view: v, cordons: d.Cordons(), entries: entries, ids: make(map[string]bool, len(entries)),
		services: make(map[string][]Member), members: make(map[string]Member),
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		s := entries[name]
		next.ids[s.ID] = true
		if _, departs := d.departing[s.ID]; s.State == Ready && !departs {
			next.add(d.member(&s, time.Time{}))
		}
	}
	left = d.carryOver(old, next)
	d.current.Store(next)
	return left
}

// carryOver keeps members whose entries lapsed while the store was away, and
// returns the ids of those that leave, starts that are over among them.
func (d *Directory) carryOver(old, next *listing) (left []string) {
	if old == nil {
		return nil
	}
	until := d.StoreReturned().Add(lapseGrace)
	now := d.Clock.Now()
	for _, id := range slices.Sorted(maps.Keys(old.members)) {
		m := old.members[id]
		if _, stays := next.members[id]; stays {
			continue
		}
		_, stands := next.entries[m.Name()]
		_, departs := d.departing[id]
		if !stands && !departs && !m.over(now) && now.Before(until) {
			next.add(d.member(m.Server, until))
			continue
		}
		left = append(left, id)
	}
	return left
}

// member returns a server with what is known of it; until is as in Member. The lock must be held.
func (d *Directory) member(s *Server, until time.Time) Member {
	_, declines := d.declining[s.ID]
	return Member{Server: s, Until: until, ColdUntil: d.cold[s.ID], Declines: declines}
}

func (l *listing) add(m Member) {
	l.members[m.ID] = m
	if !l.cordons.Has(m.Domain) && !m.Declines {
		l.services[m.Service] = append(l.services[m.Service], m)
	}
}

// Service returns the servers of a service that may take new work now, by their
// ids and those whose entries lapsed last. The slice is read only.
func (d *Directory) Service(name string) []Member {
	l := d.current.Load()
	if l == nil {
		return nil
	}
	members := l.services[name]
	now := d.Clock.Now()
	for i := range members {
		if members[i].over(now) {
			return standing(members, now)
		}
	}
	return members
}

func (m *Member) over(now time.Time) bool {
	return !m.Until.IsZero() && !now.Before(m.Until)
}

func standing(members []Member, now time.Time) []Member {
	var kept []Member
	for i := range members {
		if !members[i].over(now) {
			kept = append(kept, members[i])
		}
	}
	return kept
}

// Takes reports whether a server may take new work now.
func (d *Directory) Takes(id string) bool {
	l := d.current.Load()
	if l == nil {
		return false
	}
	m, ok := l.members[id]
	return ok && !l.cordons.Has(m.Domain) && !m.Declines && !m.over(d.Clock.Now())
}

// GoesOn reports whether what runs already may go on at a server: one that takes new work, or that only
// declines that.
func (d *Directory) GoesOn(id string) bool {
	l := d.current.Load()
	if l == nil {
		return false
	}
	m, ok := l.members[id]
	return ok && !l.cordons.Has(m.Domain) && !m.over(d.Clock.Now())
}

// Stays reports whether a server neither leaves nor is gone. One whose failure domain is
// cordoned stays, and one that declines new work does until its end is known, although they take none.
func (d *Directory) Stays(id string) bool {
	l := d.current.Load()
	if l == nil {
		return false
	}
	m, ok := l.members[id]
	return ok && !m.over(d.Clock.Now())
}

// Known reports whether the server's start stands in the newest view, in any state.
func (d *Directory) Known(id string) bool {
	l := d.current.Load()
	if l == nil {
		return false
	}
	_, carried := l.members[id]
	return carried || l.ids[id]
}

// View returns the newest view, or nil.
func (d *Directory) View() *View {
	if l := d.current.Load(); l != nil {
		return l.view
	}
	return nil
}
