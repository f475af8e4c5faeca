package check

import "github.com/dalebend/dalebend/internal/soak/history"

// Whole finds answers that are not the server's own whole answer to just this
// request: of another, altered, torn but complete by its looks, or surplus.
func Whole(c *Case) []Violation {
	var all []Violation
	for i := range c.Requests {
		q := &c.Requests[i]
		if why := c.notWhole(q); why != "" {
			all = append(all, found("whole answers", q.Done, "%s (status %d, box %s): %s", q.ID, q.Status, q.Box, why))
		}
	}
	return all
}

// notWhole says why an answer is not whole, or returns "".
func (c *Case) notWhole(q *history.Request) string {
	switch {
	case q.Surplus:
		return "bytes that belong to no request came after the answer"
	case q.Status == 0:
		return ""
	case q.AnswerID != "" && q.AnswerID != q.ID:
		return "the answer is that of " + q.AnswerID
	case q.Proof == "" && q.Succeeded():
		return "a success without the server's proof"
	case q.Proof == "" || !q.Whole || c.gave(q):
		return ""
	}
	return "no server gave this answer"
}

// gave reports whether a server gave just this answer.
func (c *Case) gave(q *history.Request) bool {
	for _, a := range c.arrivals[q.ID] {
		if a.Proof == q.Proof && a.Status == q.Status && (q.Events > 0 || a.Text == q.Text) {
			return true
		}
	}
	return false
}
