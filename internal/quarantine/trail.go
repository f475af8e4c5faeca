package quarantine

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

const (
	// mostEnds is how many servers may end under a request before it is held. With fewer a request
	// that stood beside another one twice would be refused; each more costs all that its server
	// runs, three generations of ten seconds on the users' fleets.
	mostEnds = 3
	// suspectFor is how long a trail that is not complete is kept after the last end: callers come
	// back after seconds, jobs after minutes.
	suspectFor = 10 * time.Minute
	// holdFor is how long a request is held after the last end, so that a wrong verdict, or one
	// that a new version of the servers has made wrong, does not last.
	holdFor = time.Hour
)

// trail is what is known of one request under which servers ended.
type trail struct {
	fingerprint fingerprint.Fingerprint
	account     string
	// ends are the different starts of servers, in the order in which they ended; at most
	// mostEnds.
	ends []end
	// cleared is when the request was last answered well or lifted; what ended before does not
	// count. Zero is never.
	cleared time.Time
	// triedUntil is until when a server may be trying the request, at this box or another.
	triedUntil time.Time
	// source is the box or store that told of the last end, empty if this box saw it.
	source string
	// due is when this box is to tell again what is known here, zero for never.
	due time.Time
}

// end is a start of a server that ended while it ran the request.
type end struct {
	server string
	at     time.Time
}

func (t *trail) held() bool { return len(t.ends) >= mostEnds }

// add notes an end, and reports whether that is news.
func (t *trail) add(e end) bool {
	if t.held() || !e.at.After(t.cleared) || slices.ContainsFunc(t.ends, func(o end) bool { return o.server == e.server }) {
		return false
	}
	t.ends = append(t.ends, e)
	return true
}

// clear forgets what ended before a time, and reports whether that is news.
func (t *trail) clear(at time.Time) bool {
	if !at.After(t.cleared) {
		return false
	}
	t.cleared = at
	t.ends = slices.DeleteFunc(t.ends, func(e end) bool { return !e.at.After(at) })
	return true
}

// over reports whether the trail is to be forgotten. One that was cleared is kept for a while, so
// that a box that has not heard of that does not bring it back.
func (t *trail) over(now time.Time) bool {
	last := t.cleared
	for _, e := range t.ends {
		if e.at.After(last) {
			last = e.at
		}
	}
	keep := suspectFor
	if t.held() {
		keep = holdFor
	}
	return now.Sub(last) >= keep
}

// servers names the servers that ended.
func (t *trail) servers() []string {
	names := make([]string, len(t.ends))
	for i, e := range t.ends {
		names[i] = e.server
	}
	return names
}
