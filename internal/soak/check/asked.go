package check

import "github.com/dalebend/dalebend/internal/soak/history"

// Asked finds requests that run other than their callers sent them: unknown,
// altered, under another client account, or with the caller's key.
func Asked(c *Case) []Violation {
	var all []Violation
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		if !a.Ran {
			continue
		}
		if why := altered(c.requests[a.ID], a); why != "" {
			all = append(all, found("what is asked runs", a.At, "%s at %s: %s", a.ID, a.Server, why))
		}
	}
	return all
}

// altered says how an arrival differs from what its caller sent, or returns "".
func altered(q *history.Request, a *history.Arrival) string {
	switch {
	case q == nil:
		return "no caller sent it"
	case q.Method != a.Method || q.URI != a.URI || q.Body != a.Body || q.Host != a.Host:
		return "method, host, path or body differ"
	case q.Account != a.Account:
		return "the client account is " + a.Account + ", not " + q.Account
	case a.Key != "":
		return "the key was passed on"
	}
	return ""
}
