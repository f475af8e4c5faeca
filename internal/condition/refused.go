package condition

import (
	"fmt"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/serverlimit"
)

// maxNamed bounds the servers that a refusal names for each condition.
const maxNamed = 3

// RefusedError means that all servers that a request may use refuse it now by their reported
// conditions. The request has not run.
type RefusedError struct {
	// RetryAfter is when to retry, 0 if the conditions do not tell.
	RetryAfter time.Duration
	// limited is the error for limits, nil if there are none; reasons are the other conditions.
	limited *serverlimit.LimitError
	reasons []string
}

// Error lists the conditions of the servers, for the caller and the log.
func (e *RefusedError) Error() string {
	texts := e.reasons
	if e.limited != nil {
		texts = append([]string{e.limited.Error()}, texts...)
	}
	return strings.Join(texts, "; ")
}

// Unwrap returns the error for limits, or nil.
func (e *RefusedError) Unwrap() error {
	if e.limited == nil {
		return nil
	}
	return e.limited
}

// Candidates are the servers that a request of a service may choose from.
type Candidates struct {
	Service string
	// Priority is that of the request, 0 the most urgent.
	Priority int
	// Servers are the possible servers, Tried those that did not accept the request, and Leaving
	// those that would be possible if they were not leaving.
	Servers, Tried, Leaving []string
}

// Refuse returns the error for a request that no server accepts, nil if the reported conditions do
// not explain that.
func (b *Tracker) Refuse(c *Candidates) *RefusedError {
	if b == nil {
		return nil
	}
	r := &RefusedError{reasons: b.describeAll(c.Leaving, b.Departures.Describe)}
	b.refuseHeldOff(c, r)
	if limited := b.Limits.Refuse(c.Service, c.Servers, c.Priority); limited != nil {
		r.limited = limited
		if r.RetryAfter == 0 || limited.RetryAfter < r.RetryAfter {
			r.RetryAfter = limited.RetryAfter
		}
	}
	if r.limited == nil && len(r.reasons) == 0 {
		return nil
	}
	return r
}

// refuseHeldOff adds the servers under a hold-off to an error, and when the first of them accepts a
// request again. RetryAfter stays unset if some server has neither a hold-off nor a limit, as that
// may accept a request at any time.
func (b *Tracker) refuseHeldOff(c *Candidates, r *RefusedError) {
	var held []string
	soonest, free := time.Duration(0), false
	for _, servers := range [][]string{c.Servers, c.Tried} {
		for _, server := range servers {
			left, ok := b.HoldOffs.Remaining(server)
			if !ok {
				free = free || !b.Limits.IsLimited(server)
				continue
			}
			if held = append(held, server); len(held) == 1 || left < soonest {
				soonest = left
			}
		}
	}
	r.reasons = append(r.reasons, b.describeAll(held, b.HoldOffs.Describe)...)
	if len(held) > 0 && !free {
		r.RetryAfter = b.HoldOffs.RetryAfter(soonest)
	}
}

// describeAll returns the descriptions of at most maxNamed servers.
func (b *Tracker) describeAll(servers []string, text func(server string) string) []string {
	var texts []string
	for i, server := range servers {
		if i == maxNamed {
			return append(texts, fmt.Sprintf("and %d more", len(servers)-maxNamed))
		}
		if t := text(server); t != "" {
			texts = append(texts, t)
		}
	}
	return texts
}
