package holdoff

import (
	"sync/atomic"
	"time"
)

const (
	// spreadPart is the part of the time asked for that boxes are spread over when they come back, and
	// mostSpread the most of it: hundreds that were turned away together would come back together.
	spreadPart = 0.125
	mostSpread = 500 * time.Millisecond
	// tryEvery is the time between two requests to a server whose time is over and that has not answered
	// since: most answers of plain servers are there by then.
	tryEvery = 250 * time.Millisecond
	// mostGoingOn is how many streams may go on at a server while the box holds off: a server that is asked
	// to bear no more than two requests meanwhile is not asked for more.
	mostGoingOn = 2
)

// period is the time for which one start of a server wants nothing, and after that the time until it has
// answered. Its fields but the atomic ones belong to the book's lock.
type period struct {
	server string
	// since is when the server first asked, heard when it last did, and asked what it asked for then.
	since, heard time.Time
	asked        time.Duration
	// until is the end of the time that was asked for, and ends the same in Unix nanoseconds.
	until time.Time
	ends  atomic.Int64
	// next is when the next request may go there, in Unix nanoseconds.
	next atomic.Int64
	// goneOn counts the streams that went on there.
	goneOn atomic.Int32
}

// extend takes a word of now, and reports whether its time ends later than that of those before. The draw is
// a number from 0 to 1.
func (p *period) extend(holdOff time.Duration, now time.Time, draw float64) bool {
	until := now.Add(holdOff)
	if !until.After(p.until) {
		return false
	}
	if !now.Before(p.until) {
		p.goneOn.Store(0)
	}
	p.heard, p.asked, p.until = now, holdOff, until
	p.ends.Store(until.UnixNano())
	spread := min(mostSpread, time.Duration(spreadPart*float64(holdOff)))
	p.wait(until.Add(time.Duration(draw * float64(spread))))
	return true
}

// wait has no request go there before a time.
func (p *period) wait(until time.Time) { p.next.Store(until.UnixNano()) }

// takes reports whether a request may go there.
func (p *period) takes(now time.Time) bool { return now.UnixNano() >= p.next.Load() }

// wants reports whether the time that was asked for is over.
func (p *period) wants(now time.Time) bool { return now.UnixNano() >= p.ends.Load() }

// left returns the time until a request may go there.
func (p *period) left(now time.Time) time.Duration {
	return max(0, time.Duration(p.next.Load()-now.UnixNano()))
}

// goOn reports whether one more stream may go on there.
func (p *period) goOn(now time.Time) bool {
	return p.wants(now) || p.goneOn.Add(1) <= mostGoingOn
}
