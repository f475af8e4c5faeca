package retrybudget

import (
	"cmp"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/digest"
)

// report is the last report of a peer, and when it arrived.
type report struct {
	at       time.Time
	services []digest.Attempts
}

// Update replaces the report of a peer. The last report of a box that is gone counts for another
// window, as the servers have still received those attempts.
func (b *Budget) Update(box string, services []digest.Attempts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = make(map[string]*report)
	}
	now := b.Clock.Now()
	b.peers[box] = &report{at: now, services: services}
	if now.Sub(b.pruned) < pruneInterval {
		return
	}
	b.pruned = now
	for name, r := range b.peers {
		if now.Sub(r.at) > b.Limits.Window {
			delete(b.peers, name)
		}
	}
}

// Refresh records that peers are present and have no newer report: a retry is reported at once.
func (b *Budget) Refresh(boxes []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for _, box := range boxes {
		if r := b.peers[box]; r != nil {
			r.at = now
		}
	}
}

// pruneInterval is the least time between two searches for expired reports. They have no effect,
// and searching for them with each of hundreds of reports a second costs more than the memory.
const pruneInterval = time.Second

// LocalAttempts returns the attempts to report to peers, sorted by service. First attempts that
// will leave the window while the report still counts as recent are left out.
func (b *Budget) LocalAttempts() []digest.Attempts {
	b.mu.Lock()
	defer b.mu.Unlock()
	var own []digest.Attempts
	for service := range b.services {
		w := b.at(service)
		a := digest.Attempts{Service: service, First: int32(w.lastingFirst()), Second: int32(sum(w.retries[:]))}
		if a.First > 0 || a.Second > 0 {
			own = append(own, a)
		}
	}
	slices.SortFunc(own, func(x, y digest.Attempts) int { return cmp.Compare(x.Service, y.Service) })
	b.reported = own
	return own
}

// FirstAttemptRates returns the first attempts per second of this box and of its peers for a
// service, from their reports: apart from reports in transit, all boxes have the same figures.
// Peers that are gone are included for another window.
func (b *Budget) FirstAttemptRates(service string) (own float64, peers map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lasts := (windowSlots - lagSlots) * b.Limits.Window / windowSlots
	perSecond := func(reported digest.Attempts) float64 { return float64(reported.First) / lasts.Seconds() }
	peers = make(map[string]float64, len(b.peers))
	now := b.Clock.Now()
	for box, r := range b.peers {
		if now.Sub(r.at) <= b.Limits.Window {
			peers[box] = perSecond(r.attempts(service))
		}
	}
	return perSecond((&report{services: b.reported}).attempts(service)), peers
}

// lag is the age up to which a report counts as complete.
func (t Limits) lag() time.Duration { return lagSlots * t.Window / windowSlots }

// fleet sums up the attempts of all boxes for one service.
type fleet struct {
	// boxes is the number of boxes that share the budget, heard that of peers with a recent report.
	boxes, heard int
	// budget is the budget of this box and of the peers with a recent report.
	budget float64
	// ownShare is the share of a box without recent reports of others.
	ownShare float64
	// used is the number of retries of this box and of peers with a recent report, and those of
	// other peers beyond their share.
	used float64
}

// free returns how many retries are left for this box and the peers with a recent report.
func (f fleet) free() float64 {
	if f.heard > 0 && f.heard == f.boxes-1 {
		return fullUseRatio*f.budget - f.used
	}
	return partialUseRatio*f.budget - f.used
}

// fleet adds up the attempts of this box and of its peers for a service. A peer without a recent
// report counts only with its retries beyond its share, which is not in the budget here.
func (b *Budget) fleet(service string, w *window) fleet {
	f := fleet{boxes: max(1, b.Boxes()), used: float64(sum(w.retries[:]))}
	first := sum(w.first[:])
	share := partialUseRatio * float64(b.Limits.Minimum) / float64(f.boxes)
	f.ownShare = partialUseRatio*b.Limits.Ratio*float64(first) + share
	now := b.Clock.Now()
	for _, r := range b.peers {
		reported := r.attempts(service)
		switch age := now.Sub(r.at); {
		case age <= b.Limits.lag() && f.heard < f.boxes-1:
			f.heard++
			first += int(reported.First)
			f.used += float64(reported.Second)
		case age <= b.Limits.Window:
			f.used += max(0, float64(reported.Second)-share)
		}
	}
	earned := b.Limits.Ratio * float64(first)
	f.budget = earned + float64(b.Limits.Minimum)*float64(f.heard+1)/float64(f.boxes)
	return f
}

// attempts returns the reported attempts for one service.
func (r *report) attempts(service string) digest.Attempts {
	for _, a := range r.services {
		if a.Service == service {
			return a
		}
	}
	return digest.Attempts{Service: service}
}
