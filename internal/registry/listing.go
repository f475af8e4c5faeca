package registry

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/cowmap"
)

// listing is derived from one view, the cordons and the reports of servers. Immutable.
type listing struct {
	view    *View
	cordons Cordons
	// entries holds the newest known instance of each server in the view, by server name.
	entries cowmap.Map[Server]
	// members holds, by server name, the servers that may get new work, including those of cordoned
	// domains and those that decline it.
	members cowmap.Map[*Member]
	// services holds the members that get new work, by service.
	services map[string][]*Member
	// lapsed are the names of members whose entries have vanished.
	lapsed    []string
	declining int
}

// servers returns the entries of the view.
func (l *listing) servers() cowmap.Map[Server] {
	if l.view == nil {
		return cowmap.Map[Server]{}
	}
	return l.view.Servers
}

// possibleNames returns the server names that an instance id may belong to.
func possibleNames(id string) [2]string {
	name := id
	if end := len(id) - suffixLen; end >= 0 && strings.HasPrefix(id[end:], markSeparator) {
		name = id[:end]
	}
	return [2]string{name, id}
}

// member returns the member with an instance id, or nil.
func (l *listing) member(id string) *Member {
	if l == nil {
		return nil
	}
	for _, name := range possibleNames(id) {
		if m, ok := l.members.Get(name); ok && m.ID == id {
			return m
		}
	}
	return nil
}

// hasEntry reports whether an instance has an entry.
func (l *listing) hasEntry(id string) bool { return l.entry(id) != nil }

// entry returns the entry of an instance, or nil.
func (l *listing) entry(id string) *Server {
	if l == nil {
		return nil
	}
	for _, name := range possibleNames(id) {
		if s, ok := l.entries.Get(name); ok && s.ID == id {
			return &s
		}
	}
	return nil
}

func (l *listing) acceptsNew(m *Member) bool { return !l.cordons.Has(m.Domain) && !m.Declines }

// edit builds a listing from an older one by replacing single members.
type edit struct {
	old, next *listing
	entries   *cowmap.Edit[Server]
	members   *cowmap.Edit[*Member]
	// removed and added are the members, by service, that stop and start getting new work.
	removed, added map[string][]*Member
}

// newEdit starts the listing for a view from an older listing.
func newEdit(old *listing, v *View, cordons Cordons) *edit {
	return &edit{
		old:     old,
		next:    &listing{view: v, cordons: cordons},
		entries: old.entries.Edit(),
		members: old.members.Edit(),
		removed: make(map[string][]*Member),
		added:   make(map[string][]*Member),
	}
}

// replace replaces a member by the next one of the same name; either may be nil.
func (e *edit) replace(old, next *Member) {
	if old != nil {
		e.members.Delete(old.Name())
		e.count(old, -1)
		if e.old.acceptsNew(old) {
			e.removed[old.Service] = append(e.removed[old.Service], old)
		}
	}
	if next == nil {
		return
	}
	e.members.Set(next.Name(), next)
	e.count(next, 1)
	if !next.LapsesAt.IsZero() {
		e.next.lapsed = append(e.next.lapsed, next.Name())
	}
	if e.next.acceptsNew(next) {
		e.added[next.Service] = append(e.added[next.Service], next)
	}
}

// count updates the number of members that decline new work.
func (e *edit) count(m *Member, by int) {
	if m.Declines {
		e.next.declining += by
	}
}

// listing returns the result. The edit must not be used afterwards.
func (e *edit) listing() *listing {
	e.next.entries = e.entries.Map()
	e.next.members = e.members.Map()
	e.next.declining += e.old.declining
	e.next.services = maps.Clone(e.old.services)
	if e.next.services == nil {
		e.next.services = make(map[string][]*Member)
	}
	for service, members := range e.removed {
		e.next.services[service] = without(e.next.services[service], members)
	}
	for service, members := range e.added {
		e.next.services[service] = merged(e.next.services[service], members)
	}
	return e.next
}

// without returns members minus removed. Neither slice is modified, except that removed is sorted.
func without(members, removed []*Member) []*Member {
	slices.SortFunc(removed, byOrder)
	out := make([]*Member, 0, len(members))
	for _, m := range removed {
		at, _ := slices.BinarySearchFunc(members, m, byOrder)
		out = append(out, members[:at]...)
		members = members[at+1:]
	}
	return append(out, members...)
}

// merged returns members with added inserted in order.
func merged(members, added []*Member) []*Member {
	slices.SortFunc(added, byOrder)
	out := make([]*Member, 0, len(members)+len(added))
	for _, m := range added {
		at, _ := slices.BinarySearchFunc(members, m, byOrder)
		out = append(append(out, members[:at]...), m)
		members = members[at:]
	}
	return append(out, members...)
}

// byOrder sorts members with an entry before those whose entry has vanished, and each of these by
// id.
func byOrder(a, b *Member) int {
	if a.LapsesAt.IsZero() != b.LapsesAt.IsZero() {
		if a.LapsesAt.IsZero() {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Name(), b.Name())
}

// unexpired returns the members that have not lapsed.
func unexpired(members []*Member, now time.Time) []*Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *Member) bool { return m.lapsed(now) })
}
