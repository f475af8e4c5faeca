package registry

import "time"

// Member is a server that may get new work, unless its failure domain is cordoned or it declines
// new work. Immutable.
type Member struct {
	*Server
	// LapsesAt is when a vanished entry stops being used; zero if the entry exists.
	LapsesAt time.Time
	// ColdUntil is when the server stops being cold; zero if it was not cold when its entry last
	// changed.
	ColdUntil time.Time
	// Declines is set if the server reported that it wants no new work. Running requests continue.
	Declines bool
}

// Cold reports whether the server is cold.
func (m *Member) Cold(now time.Time) bool { return now.Before(m.ColdUntil) }

// lapsed reports whether a vanished entry is no longer used.
func (m *Member) lapsed(now time.Time) bool {
	return !m.LapsesAt.IsZero() && !now.Before(m.LapsesAt)
}
