package registry

import "time"

// lateWrite is how long an entry of an earlier start is taken for a late one, as a write may
// be done up to 6 s after it was sent. Afterwards the store's word counts: the server's
// clock may have been set back before its last start.
const lateWrite = 10 * time.Second

// start is the newest start that is known of a server.
type start struct {
	server Server
	// over is the view's entry that the server's own word went over; zero if there was none.
	over Server
	// at is when the store or the server last told of it.
	at time.Time
}

// settled returns the entries of a view, with later starts in place of those that are known
// to be over. The lock must be held.
func (d *Directory) settled(v *View) map[string]Server {
	now := d.Clock.Now()
	if d.starts == nil {
		d.starts = make(map[string]start, len(v.Servers))
	}
	entries := make(map[string]Server, len(v.Servers))
	for name, s := range v.Servers {
		entries[name] = d.settle(name, s, now)
	}
	for name, known := range d.starts {
		if _, stands := entries[name]; !stands && now.Sub(known.at) >= lateWrite {
			delete(d.starts, name)
		}
	}
	return entries
}

// settle returns what counts of a server whose entry a view has.
func (d *Directory) settle(name string, entry Server, now time.Time) Server {
	known, ok := d.starts[name]
	if ok && known.server.Later(&entry) && (entry == known.over || now.Sub(known.at) < lateWrite) {
		return known.server
	}
	d.starts[name] = start{server: entry, at: now}
	return entry
}

// Started takes a server's own word on when its start began, 0 if it does not say. It
// returns the start that spoke, or nil if a later one is known.
func (d *Directory) Started(s *Server, born int64) *Server {
	if born == 0 || born == s.Born {
		return s
	}
	d.mu.Lock()
	current, left := d.started(s, born)
	d.mu.Unlock()
	d.tell(left)
	return current
}

// started is Started, with the servers that left. The lock must be held.
func (d *Directory) started(s *Server, born int64) (current *Server, left []string) {
	name := s.Name()
	known, ok := d.starts[name]
	switch {
	case !ok:
		return s, nil
	case born < known.server.Born:
		return nil, nil
	case born == known.server.Born:
		return &known.server, nil
	}
	next := known.server
	next.ID, next.Born, next.Warmup = StartID(name, born), born, 0
	v := d.View()
	d.starts[name] = start{server: next, over: v.Servers[name], at: d.Clock.Now()}
	return &next, d.replace(v)
}

// Replaced returns the later start of a server that is known, or nil if there is none.
func (d *Directory) Replaced(s *Server) *Server {
	l := d.current.Load()
	if l == nil {
		return nil
	}
	if now, ok := l.entries[s.Name()]; ok && now.Later(s) {
		return &now
	}
	return nil
}
