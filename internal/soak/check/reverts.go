package check

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// slowRollback is how much longer an older version may still show at a box that
// is not in touch.
const slowRollback = 8

// shown is what an observation shows of the version that a process has in force.
type shown struct {
	// id is that of the request, from when it was sent and to when it was seen.
	id       string
	from, to time.Duration
	// low and high are the indexes of the oldest and the newest version that fit.
	low, high int
}

// process names one life of a box.
type process struct {
	box  string
	life int
}

// Reverts finds processes that go back to an older version than one that they have
// shown before.
func Reverts(c *Case) []Violation {
	shows := make(map[process][]shown)
	for i := range c.Requests {
		q := &c.Requests[i]
		if q.Life == 0 || q.Life != q.EndLife {
			continue
		}
		p := process{box: q.Box, life: q.Life}
		shows[p] = append(shows[p], c.shows(q)...)
	}
	var all []Violation
	for p, list := range shows {
		all = append(all, c.reverts(p, list)...)
	}
	slices.SortFunc(all, func(a, b Violation) int { return int(a.At - b.At) })
	return all
}

// shows returns what a request shows: of the versions written by then, the oldest
// and the newest that deal with it in this way.
func (c *Case) shows(q *history.Request) []shown {
	var all []shown
	for _, o := range c.observations(q) {
		s := shown{id: q.ID, from: q.Sent, to: o.at, low: -1}
		for i := range c.Versions {
			// A version shows a little before the operator hears that it was taken.
			if c.Versions[i].Acked <= o.at+c.bounds.Slack && o.allows(&c.Versions[i], q) {
				if s.low < 0 {
					s.low = i
				}
				s.high = i
			}
		}
		if s.low >= 0 {
			all = append(all, s)
		}
	}
	return all
}

// reverts compares what one process shows with all that it has shown before.
func (c *Case) reverts(p process, list []shown) []Violation {
	slices.SortFunc(list, func(a, b shown) int { return int(a.to - b.to) })
	var all []Violation
	for i, late := range list {
		for _, early := range list[:i] {
			slack := c.bounds.Rollback
			if !c.touch.Alone(p.box, early.to, late.from) {
				slack *= slowRollback
			}
			if late.high < early.low && late.from > early.to+slack {
				all = append(all, found("no way back", late.to, "box %s life %d: %s shows version %d or older, %s had shown %d at %v",
					p.box, p.life, late.id, c.Versions[late.high].Number, early.id, c.Versions[early.low].Number, early.to))
				break
			}
		}
	}
	return all
}
