package serverlimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// leastMissing is how many answers in a row must lack a limit for it to have ended: of one that a
// server still has, one answer may lack it.
const leastMissing = 2

// littleChange is the part of a limit by which another one differs little: each box keeps to it, but
// no line and no note tells of it, as a server may name another one in each answer.
const littleChange = 0.1

// differ reports whether limits differ by more than a little.
func differ(a, b float64) bool { return math.Abs(a-b) > littleChange*max(a, b) }

// fresh is how long after a server has named its limit to this box the word of others that it has ended
// does not count: they may have been answered before.
const fresh = 500 * time.Millisecond

// limit is what is known of one start of a server. The zero value but for its server is of one that
// has named none.
type limit struct {
	server    string
	perSecond float64
	// changes counts how often the limit began or ended: it holds while that is odd. Of what two boxes
	// know the one with more changes counts, so that it does not matter how long a note was on its way.
	changes int64
	// since is when the server began to name limits, named when it last did so as far as is known, and
	// own when it last did in an answer to this box; zero for never. ended is when this box learned
	// that the limit has ended.
	since, named, own, ended time.Time
	// source is who told of the limit, and shown the one that the last line told of.
	source string
	shown  float64
	// missed counts the answers in a row that lacked the limit.
	missed int

	// service is that of the server, share this box's part of the limit as of the time shared, and
	// permits what is left of it. There are none before the box was first asked for a request.
	service string
	share   share
	shared  time.Time
	permits *rate.Limiter
	// yielded counts the permits since a less urgent request last had one.
	yielded int

	// due is when the other boxes are told, zero for not.
	due time.Time
}

// holds reports whether the server names a limit.
func (l *limit) holds() bool { return l.changes%2 == 1 }

// name notes that the server named a limit to this box, and reports whether it begins with that.
func (l *limit) name(perSecond float64, now time.Time) (began bool) {
	began = !l.holds()
	if began {
		l.changes++
		l.since = now
	}
	l.set(perSecond, now)
	l.own = now
	l.missed = 0
	return began
}

// set takes a limit that was named at a time.
func (l *limit) set(perSecond float64, at time.Time) {
	if l.perSecond != perSecond {
		l.shared = time.Time{}
	}
	l.perSecond = perSecond
	l.named = at
}

// miss notes an answer without the limit, and reports whether the limit has ended with it. An answer
// to a request that was sent before the limit was last named may be older than that.
func (l *limit) miss(sent, now time.Time) bool {
	if !sent.After(l.own) {
		return false
	}
	l.missed++
	if l.missed < leastMissing {
		return false
	}
	l.changes++
	l.ended = now
	return true
}

// learn takes what is newer of what another box knows of the same server. That a limit has ended which
// the server has just named to this box is taken for the end before that.
func (l *limit) learn(heard *limit, now time.Time) {
	switch {
	case heard.changes < l.changes:
	case heard.changes == l.changes:
		if l.holds() && heard.named.After(l.named.Add(fresh)) {
			l.set(heard.perSecond, heard.named)
		}
	case !heard.holds() && l.holds() && now.Sub(l.own) < fresh:
		l.changes = heard.changes + 1
	default:
		l.changes = heard.changes
		l.missed = 0
		if !heard.holds() {
			l.ended = now
			return
		}
		l.since = heard.since
		l.set(heard.perSecond, heard.named)
	}
}

// knowsMore reports whether something newer is known here than what another box told.
func (l *limit) knowsMore(heard *limit) bool {
	if l.changes != heard.changes {
		return l.changes > heard.changes
	}
	return l.holds() && l.named.After(heard.named.Add(fresh)) && differ(l.perSecond, heard.perSecond)
}
