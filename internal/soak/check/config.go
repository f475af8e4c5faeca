package check

import (
	"net/http"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// observation is how a request was dealt with.
type observation struct {
	// service ran it, or is empty.
	service string
	// refused is the status that says that there is no such route or key, or 0.
	refused int
	// at is when it was seen.
	at time.Duration
}

// allows reports whether a version deals with a request in the way that was seen.
func (o observation) allows(v *history.Version, q *history.Request) bool {
	service, routed := v.Services[q.Host]
	_, keyed := v.Accounts[q.Key]
	switch {
	case o.refused == http.StatusNotFound:
		return !routed
	case o.refused != 0:
		return !keyed
	}
	return routed && keyed && service == o.service
}

// observations returns what was seen of a request that tells of the configuration.
func (c *Case) observations(q *history.Request) []observation {
	var all []observation
	for _, a := range c.arrivals[q.ID] {
		if a.Status == http.StatusMisdirectedRequest {
			// The address of the server that was meant has gone to another one, which did not run it.
			continue
		}
		all = append(all, observation{service: a.Service, at: a.At})
	}
	switch q.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		all = append(all, observation{refused: q.Status, at: q.Done})
	}
	return all
}

// Config finds requests that are dealt with in a way that no version allows which
// may be in force: at boxes in touch those taken at least the bound before and
// all later ones; at others any version so far.
func Config(c *Case) []Violation {
	var all []Violation
	for i := range c.Requests {
		q := &c.Requests[i]
		for _, o := range c.observations(q) {
			oldest := 0
			if c.touch.Box(q.Box, q.Sent-c.bounds.Apply, o.at) {
				oldest = c.inForce(q.Sent - c.bounds.Apply - c.bounds.Slack)
			}
			if !c.anyAllows(oldest, o, q) {
				all = append(all, found("configuration", o.at, "%s for %s (key %s) at box %s: service %q or status %d is what no version from %d on allows",
					q.ID, q.Host, q.Key, q.Box, o.service, o.refused, c.Versions[oldest].Number))
			}
		}
	}
	return all
}

// inForce returns the index of the last version that was taken by a time, or 0.
func (c *Case) inForce(by time.Duration) int {
	last := 0
	for i := range c.Versions {
		if c.Versions[i].Acked <= by {
			last = i
		}
	}
	return last
}

// anyAllows reports whether a version, from an index on, deals with a request in the way
// that was seen.
func (c *Case) anyAllows(from int, o observation, q *history.Request) bool {
	for i := from; i < len(c.Versions); i++ {
		if o.allows(&c.Versions[i], q) {
			return true
		}
	}
	return false
}
