package engineload

// View returns loads with this box's part as of its creation and the peers' part as of each call.
// It is safe for concurrent use. A nil View returns no load.
type View struct {
	tracker *Tracker
	own     map[string]Load
}

// View returns a View. It doesn't copy the peers' loads, since a choice looks at only some of
// thousands of engines.
func (l *Tracker) View() *View {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(map[string]Load, len(l.own))
	l.addOwn(own)
	return &View{tracker: l, own: own}
}

// Load returns the known load of an engine.
func (s *View) Load(server string) Load {
	if s == nil {
		return Load{}
	}
	load := s.own[server]
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	if peers := s.tracker.peerSums[server]; peers != nil {
		load.add(*peers, 1)
	}
	return load
}
