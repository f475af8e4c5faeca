package check

import (
	"maps"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

const (
	// lostMost is how many requests boxes in touch may cut outside planned stops.
	lostMost = 3
	// lateSend is how long after SIGTERM a request may be sent and still be excused if
	// it was cut at the end of the grace: its server may have needed all of it.
	lateSend = 3 * time.Second
	// lastPart is that end of the grace, as one part in so many.
	lastPart = 6
	// stopEnd is how long after the grace a planned stop counts as planned.
	stopEnd = time.Second
)

// Kept finds requests that a process has read and whose connection ended without a
// whole answer, although the box was left alone: none around a planned stop or a hang-up and
// none that is due to a configuration, if all servers were left alone too, few at other times
// if the last server that ran it was.
func Kept(c *Case) []Violation {
	var planned, others []Violation
	around := make(map[string]*configCuts)
	for i := range c.Requests {
		q := &c.Requests[i]
		cut := c.cutByBox(q)
		undisturbed := cut && !c.brokenOff(q) && c.serversAlone(q)
		c.countCut(around, q, undisturbed)
		if !cut {
			continue
		}
		switch promise := c.promiseOf(q, undisturbed); promise {
		case "":
		case keptAtOtherTimes:
			others = append(others, cutViolation(promise, q))
		default:
			planned = append(planned, cutViolation(promise, q))
		}
	}
	for _, box := range slices.Sorted(maps.Keys(around)) {
		planned = append(planned, around[box].violations()...)
	}
	if len(others) > lostMost {
		planned = append(planned, others...)
	}
	return planned
}

// Promises that a cut request may break.
const (
	keptAtStop       = "planned stop"
	keptAtHangUp     = "planned hang-up"
	keptAtOtherTimes = "requests are kept"
)

// promiseOf returns the promise that a request cut by its box breaks, empty if none. undisturbed is
// set if all servers that got it were left alone.
func (c *Case) promiseOf(q *history.Request, undisturbed bool) string {
	stop, stopped := c.stopOf(q)
	excused := stopped && c.excused(q, stop)
	switch {
	case undisturbed && !excused && c.hungUp(q):
		return keptAtHangUp
	case undisturbed && !excused && stopped:
		return keptAtStop
	case !stopped && c.lastSound(q):
		return keptAtOtherTimes
	default:
		return ""
	}
}

func cutViolation(promise string, q *history.Request) Violation {
	return found(promise, q.Done, "%s was cut by box %s life %d %v after it was sent: %s", q.ID, q.Box, q.Life, q.Done-q.Sent, q.Why)
}

// cutByBox reports whether a request that a process has read ended without a whole answer, while its
// box was left alone and its caller waited.
func (c *Case) cutByBox(q *history.Request) bool {
	return !q.GivenUp && !q.Answered() && !timedOut(q) && c.wasRead(q) && c.boxAlone(q)
}

// hungUp reports whether a request was cut after a SIGHUP of its box that came before it, or shortly after
// it was sent.
func (c *Case) hungUp(q *history.Request) bool {
	return slices.ContainsFunc(c.HangUps, func(h history.HangUp) bool {
		return h.Box == q.Box && q.Sent <= h.At+c.bounds.Apply && q.Done >= h.At
	})
}

// timedOut reports whether a request took as long as its route lets it.
func timedOut(q *history.Request) bool { return q.Timeout > 0 && q.Done-q.Sent >= q.Timeout }

// brokenOff reports whether an engine closed the connection of the request without an answer, or the last
// server that ran it broke its answer off itself.
func (c *Case) brokenOff(q *history.Request) bool {
	if last := c.lastRun(q); last != nil && c.spoilt(q, last.Server) {
		return true
	}
	return slices.ContainsFunc(c.Works, func(w history.Work) bool { return w.ID == q.ID && w.AnswerLost })
}

// lastRun returns the last arrival of a request at a server that ran it, nil if none did.
func (c *Case) lastRun(q *history.Request) *history.Arrival {
	var last *history.Arrival
	for _, a := range c.arrivals[q.ID] {
		if a.Ran && (last == nil || a.At > last.At) {
			last = a
		}
	}
	return last
}

// wasRead reports whether a process must have read a request: it was passed on, or
// its connection ended later than when it would have crossed the request.
func (c *Case) wasRead(q *history.Request) bool {
	return len(c.arrivals[q.ID]) > 0 || q.Life != 0 && q.Done-q.Sent > c.bounds.LostSlack+c.bounds.Slack
}

// boxAlone reports whether nothing but planned stops and the store disturbed a request
// on its box or on the paths from it.
func (c *Case) boxAlone(q *history.Request) bool {
	return c.touch.Alone(q.Box, q.Sent, q.Done, history.Start, history.Stop, history.Down) && c.touch.Paths(q.Box, q.Sent, q.Done)
}

// serversAlone reports whether nothing disturbed the servers that got a request.
func (c *Case) serversAlone(q *history.Request) bool {
	return !slices.ContainsFunc(c.arrivals[q.ID], func(a *history.Arrival) bool { return !c.touch.Server(a.Server, q.Sent, q.Done) })
}

// lastSound reports whether the last server that ran a request, if any, was left alone from
// then on and gave its answer. What became of servers before is no excuse: it goes on at the last.
func (c *Case) lastSound(q *history.Request) bool {
	last := c.lastRun(q)
	if last == nil {
		return c.serversAlone(q)
	}
	return !c.spoilt(q, last.Server) && c.touch.Server(last.Server, last.At, q.Done)
}

// spoilt reports whether a server that got a request spoilt its answer itself: it lost it, or it is an
// engine that sent something else than the events of a generation.
func (c *Case) spoilt(q *history.Request, server string) bool {
	worked := false
	for _, w := range c.Works {
		if w.ID == q.ID && w.Server == server {
			if w.AnswerLost {
				return true
			}
			worked = true
		}
	}
	return q.Events > 0 && !worked
}

// stopOf returns when the box got SIGTERM, and whether the request was sent before that
// process ended and ended in its stop.
func (c *Case) stopOf(q *history.Request) (time.Duration, bool) {
	for _, l := range c.Lives {
		if l.Box == q.Box && l.Stopped > 0 && q.Done >= l.Stopped && q.Done <= l.Stopped+c.bounds.Grace+stopEnd && q.Sent <= l.To {
			return l.Stopped, true
		}
	}
	return 0, false
}

// excused reports whether a server may still have been at work in the last part of
// the grace, for a request that was sent in time.
func (c *Case) excused(q *history.Request, stop time.Duration) bool {
	return q.Sent <= stop+lateSend && q.Done >= stop+c.bounds.Grace-c.bounds.Grace/lastPart
}
