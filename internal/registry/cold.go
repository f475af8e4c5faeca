package registry

import "time"

// coldSlack is added to the remaining warm-up time that a server reports: it covers the delay of
// the entry's write to the store and clock skew.
const coldSlack = 300 * time.Millisecond

// pruneCold removes the servers that are no longer cold. The lock must be held.
func (d *Directory) pruneCold(now time.Time) {
	for id, until := range d.cold {
		if !now.Before(until) {
			delete(d.cold, id)
		}
	}
}

// updateCold records a server whose entry shows that it is cold: its entry says so, it is new or
// has restarted, or the cordon of its failure domain was just lifted, in which case it may have
// turned cold shortly before. old is the listing that is being replaced. The lock must be held.
func (d *Directory) updateCold(old *listing, s *Server, now time.Time) {
	if left := d.coldFor(old, s); left > 0 {
		d.setCold(s.ID, now.Add(left+coldSlack))
	}
}

// coldFor returns how much longer a server is cold, given what changed since the old listing. The
// first view replaces no other, so it does not show which servers are new.
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
