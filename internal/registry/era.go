package registry

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/cowmap"
)

// withholdTime is how long an instance that had gone gets no work if the copy from which the store came back
// still has its entry. A dead entry lapses there after three missed writes, some 3 s; a live one that was
// taken for gone is used again afterwards.
const withholdTime = 6 * time.Second

// EraChange is what became of the servers when the store came back from an older copy.
type EraChange struct {
	// Kept are the instances that the copy lacks and that stay in use for a while, as they write their
	// entries again.
	Kept []string
	// Withheld are the instances that had gone and that the copy still has.
	Withheld []string
}

// beginEra records the first view of a later era. The lock must be held.
func (d *Directory) beginEra(old, v *View, now time.Time) {
	d.eraBegan = now
	d.withheld = make(map[string]Server)
	for change := range cowmap.Diff(old.Servers, v.Servers) {
		if _, gone := d.gone[change.To.ID]; gone && change.Has {
			d.withheld[change.Key] = change.To
		}
	}
	if len(d.withheld) > 0 {
		d.Clock.AfterFunc(withholdTime, d.refresh)
	}
}

// isWithheld reports whether an entry is as it was in the copy, and its instance had gone before. The lock must
// be held.
func (d *Directory) isWithheld(name string, entry *Server, now time.Time) bool {
	held, found := d.withheld[name]
	if !found {
		return false
	}
	if held == *entry && now.Sub(d.eraBegan) < withholdTime {
		return true
	}
	delete(d.withheld, name)
	return false
}

// storeReturned returns when the store was last reached again after an outage or came back from an older
// copy, zero if neither happened. The lock must be held.
func (d *Directory) storeReturned() time.Time {
	if at := d.StoreReturned(); at.After(d.eraBegan) {
		return at
	}
	return d.eraBegan
}

// updateGone records whether the instance of a server has gone. One that stays a member for a while has not,
// nor has one whose entry is back, unless that is the copy's. The lock must be held.
func (d *Directory) updateGone(e *edit, name string, before, after *Member, now time.Time) {
	if entry, exists := e.next.view.Servers.Get(name); exists {
		if _, held := d.withheld[name]; !held {
			delete(d.gone, entry.ID)
		}
		return
	}
	if after != nil {
		return
	}
	if before != nil {
		recordReports(&d.gone, []string{before.ID}, now)
	}
	if entry, had := e.old.entries.Get(name); had {
		recordReports(&d.gone, []string{entry.ID}, now)
	}
}

// refresh derives the listing again, after the time of something has passed.
func (d *Directory) refresh() {
	d.mu.Lock()
	d.updateCordons(d.Clock.Now())
	var c changes
	if v := d.View(); v != nil {
		c = d.rebuild(v)
	}
	d.mu.Unlock()
	d.notify(c)
}

// EraChange returns what became of the servers in the last return of the store from a copy.
func (d *Directory) EraChange() EraChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	var c EraChange
	if l := d.current.Load(); l != nil {
		for _, name := range l.lapsed {
			if m, ok := l.members.Get(name); ok {
				c.Kept = append(c.Kept, m.ID)
			}
		}
	}
	for _, s := range d.withheld {
		c.Withheld = append(c.Withheld, s.ID)
	}
	slices.Sort(c.Kept)
	slices.Sort(c.Withheld)
	return c
}

// carriedCordons are the cordons in force when the store came back from an older copy. The operator writes
// again what the copy lacks.
type carriedCordons struct {
	until time.Time
	// domains were cordoned before, first are those that the copy has.
	domains, first []string
}

// inForce returns the cordons to apply while those of before are carried: these, and what was added since.
func (c *carriedCordons) inForce(stored Cordons) Cordons {
	out := Cordons{Revision: stored.Revision, Domains: slices.Clone(c.domains)}
	for _, domain := range stored.Domains {
		if !slices.Contains(c.first, domain) {
			out.Domains = append(out.Domains, domain)
		}
	}
	slices.Sort(out.Domains)
	out.Domains = slices.Compact(out.Domains)
	return out
}

// carryCordons keeps the cordons in force for a while as the first ones of a later era arrive. The lock must
// be held.
func (d *Directory) carryCordons(first Cordons, now time.Time) {
	d.carried = &carriedCordons{until: now.Add(lapseGrace), domains: d.cordonsInForce().Domains, first: first.Domains}
	d.Clock.AfterFunc(lapseGrace, d.refresh)
}

// updateCordons derives the cordons in force. The lock must be held.
func (d *Directory) updateCordons(now time.Time) {
	next := d.Cordons()
	if c := d.carried; c != nil && now.Before(c.until) {
		next = c.inForce(next)
	} else {
		d.carried = nil
	}
	d.inForce.Store(&next)
}

// cordonsInForce returns the cordons that are applied.
func (d *Directory) cordonsInForce() Cordons {
	if c := d.inForce.Load(); c != nil {
		return *c
	}
	return Cordons{}
}
