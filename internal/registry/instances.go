package registry

import "time"

// maxWriteLag is how long an entry of an earlier instance is taken for a delayed write, as a write
// may take effect up to 6 s after it was sent. After that the store is trusted: the server's clock
// may have been set back before its last start.
const maxWriteLag = 10 * time.Second

// instance is the newest known instance of a server.
type instance struct {
	server Server
	// supersededEntry is the entry in the view when the server reported this instance; zero if
	// there was none.
	supersededEntry Server
	// reportedAt is when the store or the server last reported it.
	reportedAt time.Time
}

// resolveEntry chooses between the view's entry of a server and a newer instance that it reported
// itself, stores the result in the edit, and reports whether the server has an entry. The newer
// instance wins over the entry that it superseded, and for maxWriteLag over any other older entry.
// The lock must be held.
func (d *Directory) resolveEntry(e *edit, name string, now time.Time) (Server, bool) {
	known, ok := d.newestInstance(e.old, name)
	entry, exists := e.next.view.Servers.Get(name)
	d.recordDrained(name, &entry, exists, now)
	switch {
	case !exists && ok && now.Sub(known.reportedAt) < maxWriteLag:
		d.keepInstance(name, known)
		e.entries.Delete(name)
	case !exists:
		delete(d.instances, name)
		e.entries.Delete(name)
	case ok && known.server.NewerThan(&entry) && (entry == known.supersededEntry || now.Sub(known.reportedAt) < maxWriteLag):
		d.keepInstance(name, known)
		server := known.withOlderEntry(&entry)
		e.entries.Set(name, server)
		return server, true
	default:
		delete(d.instances, name)
		e.entries.Set(name, entry)
	}
	return entry, exists
}

// withOlderEntry returns the server while its entry is that of an earlier instance: a late write, or a start at
// which the server's clock was behind. It may leave if that entry says so.
func (i *instance) withOlderEntry(entry *Server) Server {
	s := i.server
	if entry.State == Draining && *entry != i.supersededEntry {
		s.State = Draining
	}
	return s
}

// recordDrained records what the entry of a server says of its leaving. The lock must be held.
func (d *Directory) recordDrained(name string, entry *Server, exists bool, now time.Time) {
	switch {
	case !exists:
		// A server that does not tell when it started may have started again. Its instances have its name.
		delete(d.drained, name)
	case entry.State == Draining:
		recordReports(&d.drained, []string{entry.ID}, now)
	}
}

// newestInstance returns the newest known instance of a server. The lock must be held.
func (d *Directory) newestInstance(l *listing, name string) (s instance, ok bool) {
	if s, ok = d.instances[name]; ok {
		return s, true
	}
	server, ok := l.entries.Get(name)
	return instance{server: server, reportedAt: d.rebuiltAt}, ok
}

// keepInstance records the newest instance of a server whose entry does not show it. The lock must
// be held.
func (d *Directory) keepInstance(name string, s instance) {
	if d.instances == nil {
		d.instances = make(map[string]instance)
	}
	d.instances[name] = s
}

// ResolveInstance applies a server's own report of when its instance started, 0 if it reports
// nothing. It returns the instance that reported, or nil if a newer one is known.
func (d *Directory) ResolveInstance(s *Server, born int64) *Server {
	if born == 0 || born == s.Born {
		return s
	}
	d.mu.Lock()
	current, c := d.resolveInstance(s, born)
	d.mu.Unlock()
	d.notify(c)
	return current
}

// resolveInstance is ResolveInstance, and also returns what changed. The lock must be held.
func (d *Directory) resolveInstance(s *Server, born int64) (current *Server, c changes) {
	l := d.current.Load()
	if l == nil {
		return s, changes{}
	}
	name := s.Name()
	known, ok := d.newestInstance(l, name)
	switch {
	case !ok:
		return s, changes{}
	case born < known.server.Born:
		return nil, changes{}
	case born == known.server.Born:
		return &known.server, changes{}
	}
	next := known.server
	next.ID, next.Born, next.Warmup = InstanceID(name, born), born, 0
	over, _ := l.view.Servers.Get(name)
	d.keepInstance(name, instance{server: next, supersededEntry: over, reportedAt: d.Clock.Now()})
	return &next, d.rebuild(l.view)
}

// NewerInstance returns the newer instance of a server that is known, or nil.
func (d *Directory) NewerInstance(s *Server) *Server {
	l := d.current.Load()
	if l == nil {
		return nil
	}
	if now, ok := l.entries.Get(s.Name()); ok && now.NewerThan(s) {
		return &now
	}
	return nil
}
