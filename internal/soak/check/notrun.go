package check

import "net/http"

// NotRun finds requests whose answer says that they have not run and never will,
// although a server ran them.
func NotRun(c *Case) []Violation {
	var all []Violation
	for i := range c.Requests {
		q := &c.Requests[i]
		if !PromisesNotRun(q.Status) {
			continue
		}
		for _, a := range c.arrivals[q.ID] {
			if a.Ran {
				all = append(all, found("not run", max(a.At, q.Done), "%s was refused with %d at %v by box %s and ran at %s at %v (may be repeated: %v)",
					q.ID, q.Status, q.Done, q.Box, a.Server, a.At, q.Repeatable))
			}
		}
	}
	return all
}

// PromisesNotRun reports whether a status promises that a request has not run.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
