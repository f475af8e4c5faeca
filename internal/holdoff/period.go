package holdoff

import "time"

// period is the time for which one start of a server wants nothing, and after that the time until it has
// answered.
type period struct {
	server string
	// since is when the server first asked, heard when it last did, and asked what it asked for then.
	since, heard time.Time
	asked        time.Duration
	// until is the end of the time that was asked for.
	until time.Time
}

// extend takes a word of now, and reports whether it ends later than those before.
func (p *period) extend(holdOff time.Duration, now time.Time) bool {
	until := now.Add(holdOff)
	if !until.After(p.until) {
		return false
	}
	p.heard, p.asked, p.until = now, holdOff, until
	return true
}
