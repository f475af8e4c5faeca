package serverlimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// minMissing is how many consecutive answers must lack the limit before it has ended: a single
// answer of a server that is still limited may lack it.
const minMissing = 2

// smallChange is the relative change of a limit below which boxes apply it without a log line or a
// note, as a server may name a slightly different limit in each answer.
const smallChange = 0.1

// differ reports whether limits differ by more than smallChange.
func differ(a, b float64) bool { return math.Abs(a-b) > smallChange*max(a, b) }

// ownAnswerPrecedence is how long after a server named its limit to this box a note that the limit
// has ended is ignored: it may be based on earlier answers.
const ownAnswerPrecedence = 500 * time.Millisecond

// limit is the state of one server instance. A zero value with a server is one that has named no
// limit.
type limit struct {
	server    string
	perSecond float64
	// changes counts how often the limit began or ended: it is in force while the count is odd.
	// Between two boxes the higher count wins, so that delayed notes do no harm.
	changes int64
	// since is when the server began to name limits, named when it last did so, as far as is known,
	// and own when it last did in an answer to this box; zero for never. ended is when this box
	// learned that the limit has ended.
	since, named, own, ended time.Time
	// source is where this box learned the limit from, and logged the rate in the last log line.
	source string
	logged float64
	// missed counts the consecutive answers that lacked the limit.
	missed int

	// service is the server's service, share this box's share of the limit computed at shared, and
	// permits its token bucket, nil until the first request.
	service string
	share   share
	shared  time.Time
	permits *rate.Limiter
	// yielded counts the permits used since a less urgent request last got one.
	yielded int

	// due is when the next note about the limit is sent, zero for none.
	due time.Time
}

// inForce reports whether the server names a limit.
func (l *limit) inForce() bool { return l.changes%2 == 1 }

// recordNamed records that the server named a limit to this box, and reports whether the limit
// begins with that.
func (l *limit) recordNamed(perSecond float64, now time.Time) (began bool) {
	began = !l.inForce()
	if began {
		l.changes++
		l.since = now
	}
	l.set(perSecond, now)
	l.own = now
	l.missed = 0
	return began
}

// set sets the limit that was named at the given time.
func (l *limit) set(perSecond float64, at time.Time) {
	if l.perSecond != perSecond {
		l.shared = time.Time{}
	}
	l.perSecond = perSecond
	l.named = at
}

// recordMissing records an answer without the limit, and reports whether the limit has ended with
// it. An answer to a request that was sent before the limit was last named is ignored, as it may be
// older.
func (l *limit) recordMissing(sent, now time.Time) bool {
	if !sent.After(l.own) {
		return false
	}
	l.missed++
	if l.missed < minMissing {
		return false
	}
	l.changes++
	l.ended = now
	return true
}

// merge applies what another box knows of the same server if it is newer. A note that the limit has
// ended, within ownAnswerPrecedence of an answer that named it, is counted as an end before that
// answer.
func (l *limit) merge(other *limit, now time.Time) {
	switch {
	case other.changes < l.changes:
	case other.changes == l.changes:
		if l.inForce() && other.named.After(l.named.Add(ownAnswerPrecedence)) {
			l.set(other.perSecond, other.named)
		}
	case !other.inForce() && l.inForce() && now.Sub(l.own) < ownAnswerPrecedence:
		l.changes = other.changes + 1
	default:
		l.changes = other.changes
		l.missed = 0
		if !other.inForce() {
			l.ended = now
			return
		}
		l.since = other.since
		l.set(other.perSecond, other.named)
	}
}

// newerThan reports whether this box knows something newer than the other box sent.
func (l *limit) newerThan(other *limit) bool {
	if l.changes != other.changes {
		return l.changes > other.changes
	}
	return l.inForce() && l.named.After(other.named.Add(ownAnswerPrecedence)) && differ(l.perSecond, other.perSecond)
}
