package registry

import (
	"slices"
	"time"
)

// reportMemory is the minimum time for which a server's report is remembered, and an entry that says that
// it leaves: longer than a store outage. It is never forgotten while the view has the instance, as such a
// report ends only with the instance. Later instances, which have other ids, are not affected.
const reportMemory = 10 * time.Minute

// MarkDeparting records instances that reported when they end, and returns those for which this is
// new.
func (d *Directory) MarkDeparting(ids ...string) (added []string) {
	d.mu.Lock()
	added = recordReports(&d.departing, slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !d.Stays(id) }), d.Clock.Now())
	var c changes
	if len(added) > 0 {
		c = d.rebuild(d.View(), added...)
	}
	d.mu.Unlock()
	d.notify(c)
	return added
}

// Departing visits the instances that reported when they end, with the time since the report.
func (d *Directory) Departing(visit func(id string, age time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	for id, at := range d.departing {
		visit(id, now.Sub(at))
	}
}

// Decline records instances that reported that they leave. They get no new work, but running
// requests continue until the end of the instance is known: a server that cannot write to the store
// keeps serving until it can. An instance that is not known because its entry vanished gets no new
// work when the entry is back.
func (d *Directory) Decline(ids ...string) {
	d.mu.Lock()
	added := recordReports(&d.declining, ids, d.Clock.Now())
	var c changes
	if v := d.View(); v != nil && len(added) > 0 {
		c = d.rebuild(v, added...)
	}
	d.mu.Unlock()
	d.notify(c)
}

// Declining returns the servers of a service that would get new work if they did not decline it.
func (d *Directory) Declining(service string) []string {
	l := d.current.Load()
	if l == nil || l.declining == 0 {
		return nil
	}
	now := d.Clock.Now()
	var ids []string
	for _, m := range l.members.All() {
		if m.Declines && m.Service == service && !m.lapsed(now) {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// recordReports adds instances to reports with the current time, and returns those that are new.
func recordReports(reports *map[string]time.Time, ids []string, now time.Time) (added []string) {
	if *reports == nil {
		*reports = make(map[string]time.Time)
	}
	for _, id := range ids {
		if _, known := (*reports)[id]; !known {
			(*reports)[id] = now
			added = append(added, id)
		}
	}
	return added
}

// pruneReports removes the reports of instances that have been gone for longer than reportMemory.
// The lock must be held.
func (d *Directory) pruneReports() {
	now := d.Clock.Now()
	for _, reports := range []map[string]time.Time{d.departing, d.declining, d.drained, d.gone} {
		for id, at := range reports {
			if now.Sub(at) > reportMemory && !d.Known(id) {
				delete(reports, id)
			}
		}
	}
}
