package check

import (
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/soak/backends"
	"github.com/dalebend/dalebend/internal/soak/history"
)

const (
	// segmentCrashes is how many servers may end under requests with one deadly prompt segment before boxes
	// must know it, and segmentSends how often such requests may come to servers later than that by the bound
	// of contact.
	segmentCrashes = 5
	segmentSends   = 3
	// neighboursLeast is how many requests of each kind there must be to compare them, and neighbourShare the
	// least part, as a ratio to the others, of those whose answers begin.
	neighboursLeast = 20
	neighbourShare  = 0.5
)

// DeadlySegments finds prompt segments under which five servers had ended, with which boxes in touch gave requests to
// servers more than three times later.
func DeadlySegments(c *Case) []Violation {
	at := c.crashesOn(backends.DeadlySegment)
	if len(at) < segmentCrashes {
		return nil
	}
	fifth := at[segmentCrashes-1]
	var sent []time.Duration
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		q := c.requests[a.ID]
		if q == nil || a.At <= fifth+c.bounds.Contact+c.bounds.Slack || !slices.Contains(q.Segments, backends.DeadlySegment) {
			continue
		}
		if c.touch.Box(q.Box, a.At, a.At) {
			sent = append(sent, a.At)
		}
	}
	if len(sent) <= segmentSends {
		return nil
	}
	slices.Sort(sent)
	return []Violation{found("deadly segments", sent[segmentSends], "requests with one prompt segment came to servers %d times although five had ended by %v; %d ended in all",
		len(sent), fifth, len(at))}
}

// crashesOn returns when servers ended under requests with a prompt segment, in order.
func (c *Case) crashesOn(segment string) []time.Duration {
	var at []time.Duration
	for _, e := range c.Ends {
		if q := c.requests[e.Request]; q != nil && slices.Contains(q.Segments, segment) {
			at = append(at, e.At)
		}
	}
	slices.Sort(at)
	return at
}

// Neighbours finds out whether sound requests that share account, route and prompt segments with deadly ones are
// served far less often than those that share no segment with them, from twice the bound of contact after the fifth
// crash on, or the last if there are fewer.
func Neighbours(c *Case) []Violation {
	at := c.crashesOn(backends.DeadlySegment)
	if len(at) == 0 {
		return nil
	}
	from := at[min(len(at), segmentCrashes)-1] + 2*c.bounds.Contact + c.bounds.Slack
	var shared, others begun
	for i := range c.Requests {
		q := &c.Requests[i]
		if q.Sent < from || len(q.Segments) == 0 || slices.Contains(q.Segments, backends.DeadlySegment) ||
			q.Body == backends.DeadlyBody || !c.touch.Box(q.Box, q.Sent, q.Done) {
			continue
		}
		if q.Segments[0] == backends.NeighbourSegment {
			shared.add(q)
		} else {
			others.add(q)
		}
	}
	if min(shared.all, others.all) < neighboursLeast || shared.part() >= neighbourShare*others.part() {
		return nil
	}
	return []Violation{found("neighbours", from, "answers to %d of %d requests that share segments with deadly ones began, and to %d of %d others",
		shared.begun, shared.all, others.begun, others.all)}
}

// begun counts requests whose answers began.
type begun struct{ begun, all int }

func (b *begun) add(q *history.Request) {
	b.all++
	if q.Succeeded() {
		b.begun++
	}
}

func (b *begun) part() float64 { return float64(b.begun) / float64(b.all) }
