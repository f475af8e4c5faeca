package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/fingerprint"
)

const (
	// maxEnds is how many servers may end under a request, or under requests with one segment, before
	// it is held. With fewer, a request that ran beside a crashing one twice would be refused; each
	// more costs all that its server runs, three generations of ten seconds in users' fleets.
	maxEnds = 3
	// maxSegmentEnds bounds the ends that are kept of a segment, the newest ones.
	maxSegmentEnds = 8
	// burstTime is how close to each other the ends of servers under different requests count once for
	// a segment: a failure domain that dies takes requests with any segment at the same moment.
	burstTime = 150 * time.Millisecond
	// suspectTime is how long a history below maxEnds is kept after the last end: callers retry
	// after seconds, jobs after minutes.
	suspectTime = 10 * time.Minute
	// holdTime is how long a trait is held after the last end, so that a wrong hold, or one that
	// a new version of the servers has made wrong, does not last.
	holdTime = time.Hour
)

// history is the crash history of a trait: of one request, or of all requests with one prompt segment.
type history struct {
	fingerprint fingerprint.Fingerprint
	// account is whose request began the history.
	account string
	// segment is empty for the history of one request. position is where in a prompt the segment was
	// seen, the last place if there were several.
	segment  Segment
	position int
	// ends are different server instances, in the order in which they ended.
	ends []End
	// cleared is when the request was last answered, when an answer to a request with the segment last
	// began, or when the hold was lifted; zero for never. Earlier ends do not count.
	cleared time.Time
	// triedUntil is until when a server may be running such a request, at this box or another.
	triedUntil time.Time
	// source is the box or store that reported the last end, empty if this box saw it.
	source string
	// how is how the last end was detected, or its source.
	how string
	// due is when this box sends the history again, zero for never.
	due time.Time
	// unexplained are, while judge runs, the ends that no trait explains which is held already.
	unexplained []End
}

func (t *history) isSegment() bool { return t.segment != Segment{} }

// full reports whether so many servers ended that the trait may be held.
func (t *history) full() bool { return len(t.ends) >= maxEnds }

// addEnd adds an end, and reports whether it is new.
func (t *history) addEnd(e End) bool {
	if t.full() && !t.isSegment() || !e.At.After(t.cleared) || t.endedWith(e.Server) {
		return false
	}
	at, _ := slices.BinarySearchFunc(t.ends, e, func(a, b End) int {
		return cmp.Or(a.At.Compare(b.At), -1)
	})
	t.ends = slices.Insert(t.ends, at, e)
	if len(t.ends) > maxSegmentEnds {
		t.ends = slices.Delete(t.ends, 0, 1)
		return at > 0
	}
	return true
}

// endedWith reports whether a server instance is among the ends.
func (t *history) endedWith(server string) bool {
	return slices.ContainsFunc(t.ends, func(e End) bool { return e.Server == server })
}

// crashes returns how many of some ends of the history count.
func (t *history) crashes(ends []End) int {
	if !t.isSegment() {
		return len(ends)
	}
	n := 0
	for len(ends) > 0 {
		later := slices.IndexFunc(ends, func(e End) bool { return e.At.Sub(ends[0].At) > burstTime })
		if later < 0 {
			later = len(ends)
		}
		n += mostOfOneRequest(ends[:later])
		ends = ends[later:]
	}
	return n
}

// mostOfOneRequest returns the largest number of ends under one request: servers that it ended one
// after the other, as it was sent again.
func mostOfOneRequest(ends []End) int {
	most := 0
	counts := make(map[fingerprint.Fingerprint]int, len(ends))
	for _, e := range ends {
		counts[e.Request]++
		most = max(most, counts[e.Request])
	}
	return most
}

// last returns when the last server ended, or the zero time.
func (t *history) last() time.Time {
	if len(t.ends) == 0 {
		return time.Time{}
	}
	return t.ends[len(t.ends)-1].At
}

// knownGood reports whether an answer to a request with the segment began in living memory. A
// request is either answered or not, and answers of long ago prove nothing.
func (t *history) knownGood(now time.Time) bool {
	return t.isSegment() && !t.cleared.IsZero() && now.Sub(t.cleared) < suspectTime
}

// clear removes the ends up to a time, and reports whether anything changed.
func (t *history) clear(at time.Time) bool {
	if !at.After(t.cleared) {
		return false
	}
	t.cleared = at
	t.ends = slices.DeleteFunc(t.ends, func(e End) bool { return !e.At.After(at) })
	return true
}

// expired reports whether the history can be dropped. A cleared one is kept for suspectTime, so
// that a box that missed the clearing does not bring it back.
func (t *history) expired(now time.Time) bool {
	last := t.cleared
	if at := t.last(); at.After(last) {
		last = at
	}
	keep := suspectTime
	if t.full() {
		keep = holdTime
	}
	return now.Sub(last) >= keep
}

// servers returns the ids of the instances that ended.
func (t *history) servers() []string {
	names := make([]string, len(t.ends))
	for i, e := range t.ends {
		names[i] = e.Server
	}
	return names
}

// accounts returns the accounts under whose requests servers ended.
func (t *history) accounts() []string {
	var names []string
	for _, e := range t.ends {
		if !slices.Contains(names, e.Account) {
			names = append(names, e.Account)
		}
	}
	return names
}
