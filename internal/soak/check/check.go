// Package check has the checkers of a history: each is a pure function that finds
// where one promise of the users' pages was broken.
package check

import (
	"fmt"
	"time"

	"github.com/dalebend/dalebend/internal/soak/bounds"
	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/touch"
)

// Violation is a promise that was broken.
type Violation struct {
	// Promise is the checker's name.
	Promise string
	// At is when it was seen, since the run began.
	At time.Duration
	// What tells of it, with ids.
	What string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %v: %s", v.Promise, v.At.Round(time.Millisecond), v.What)
}

// Checker finds where a promise was broken.
type Checker func(c *Case) []Violation

// All are the checkers.
func All() []Checker {
	return []Checker{Whole, Order, Once, Alone, NotRun, Asked, Drain, Remembers, Wakes, Starts, Config, Reverts, Budget, Deadly, DeadlySegments, Neighbours, Limits, Leaves, HoldsOff, Isolated, Kept, Backlog, Ends, Recovers}
}

// Case is a history that is prepared for the checkers. Get one from NewCase.
type Case struct {
	history.History

	bounds bounds.Bounds
	touch  touch.Touch
	event  Event
	// arrivals are those of each request, requests are by id.
	arrivals map[string][]*history.Arrival
	requests map[string]*history.Request
}

// NewCase prepares a history. The event tells what streams hold.
func NewCase(h *history.History, b bounds.Bounds, event Event) *Case {
	c := &Case{
		History: *h, bounds: b, event: event, touch: touch.Touch{Troubles: h.Troubles, Contact: b.Contact},
		arrivals: make(map[string][]*history.Arrival), requests: make(map[string]*history.Request),
	}
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		c.arrivals[a.ID] = append(c.arrivals[a.ID], a)
	}
	for i := range c.Requests {
		c.requests[c.Requests[i].ID] = &c.Requests[i]
	}
	return c
}

// Run runs all checkers on the case.
func (c *Case) Run() []Violation {
	var found []Violation
	for _, checker := range All() {
		found = append(found, checker(c)...)
	}
	return found
}

// ran returns the runs of a request that were begun anew.
func (c *Case) ran(id string) []*history.Arrival {
	var runs []*history.Arrival
	for _, a := range c.arrivals[id] {
		if a.Ran && !a.Continued {
			runs = append(runs, a)
		}
	}
	return runs
}

// found returns one violation.
func found(promise string, at time.Duration, format string, args ...any) Violation {
	return Violation{Promise: promise, At: at, What: fmt.Sprintf(format, args...)}
}
