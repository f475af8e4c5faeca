package check

import (
	"cmp"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

const (
	// deadlyEnds is how many servers may end under a request, and deadlySends how often it may come
	// to servers later than the bound of contact after the last of these.
	deadlyEnds  = 3
	deadlySends = 3
)

// sameRequest is what all attempts of a request have in common.
type sameRequest struct {
	account, method, host, uri, body string
}

func sameOf(q *history.Request) sameRequest {
	return sameRequest{account: q.Account, method: q.Method, host: q.Host, uri: q.URI, body: q.Body}
}

// Deadly finds requests under which three servers had ended, and that boxes in touch gave to servers
// more than three times later.
func Deadly(c *Case) []Violation {
	ends := make(map[sameRequest][]time.Duration)
	for _, e := range c.Ends {
		if q := c.requests[e.Request]; q != nil {
			ends[sameOf(q)] = append(ends[sameOf(q)], e.At)
		}
	}
	var all []Violation
	for same, at := range ends {
		if len(at) < deadlyEnds {
			continue
		}
		slices.Sort(at)
		if sent := c.sentAfter(same, at[deadlyEnds-1]); len(sent) > deadlySends {
			all = append(all, found("servers ended", sent[deadlySends], "%s %s of %s came to servers %d times although three had ended by %v; %d ended in all",
				same.method, same.uri, same.account, len(sent), at[deadlyEnds-1], len(at)))
		}
	}
	slices.SortFunc(all, func(a, b Violation) int { return cmp.Compare(a.What, b.What) })
	return all
}

// sentAfter returns when boxes in touch gave a request to servers, from the bound of contact after a
// time on, in order.
func (c *Case) sentAfter(same sameRequest, third time.Duration) []time.Duration {
	var sent []time.Duration
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		q := c.requests[a.ID]
		if q == nil || sameOf(q) != same || a.At <= third+c.bounds.Contact+c.bounds.Slack {
			continue
		}
		if c.touch.Box(q.Box, a.At, a.At) {
			sent = append(sent, a.At)
		}
	}
	slices.Sort(sent)
	return sent
}
