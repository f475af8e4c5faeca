package registry

import "time"

// coldSlack is added to the time for which a server says that it is cold: the way of its
// entry to the store, and clocks that run apart.
const coldSlack = 300 * time.Millisecond

// forgetCold forgets the servers that are not cold any more. The lock must be held.
func (d *Directory) forgetCold(now time.Time) {
	for id, until := range d.cold {
		if !now.Before(until) {
			delete(d.cold, id)
		}
	}
}

// noteCold notes a server that its entry shows to be cold: one that says so, one that has
// just come or started again, and one of a failure domain that takes work again, which may
// have turned cold shortly before. Before is its entry in the listing that is replaced, if it had one.
// The lock must be held.
func (d *Directory) noteCold(old *listing, s *Server, now time.Time) {
	if left := d.coldFor(old, s); left > 0 {
		d.setCold(s.ID, now.Add(left+coldSlack))
	}
}

// coldFor returns how long a server is cold from now on by what a view shows anew of it. The first
// view, which replaces no other, tells nothing of who has just come.
func (d *Directory) coldFor(old *listing, s *Server) time.Duration {
	if old.view == nil {
		return s.Warmup
	}
	before, known := old.entries.Get(s.Name())
	switch {
	case !known, before.ID != s.ID:
		return max(s.Warmup, d.coldTime(s.Service))
	case old.cordons.Has(s.Domain) && !d.Cordons().Has(s.Domain):
		return max(s.Warmup, d.coldTime(s.Service))
	case before.Warmup != s.Warmup:
		return s.Warmup
	default:
		return 0
	}
}

func (d *Directory) coldTime(service string) time.Duration {
	if d.ColdTime == nil {
		return 0
	}
	return d.ColdTime(service)
}

func (d *Directory) setCold(id string, until time.Time) {
	if d.cold == nil {
		d.cold = make(map[string]time.Time)
	}
	if until.After(d.cold[id]) {
		d.cold[id] = until
	}
}
