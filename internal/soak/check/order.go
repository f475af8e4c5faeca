package check

import (
	"fmt"
	"strings"

	"github.com/dalebend/dalebend/internal/soak/history"
)

// Event returns the text of one event of a request's stream, as callers get it.
type Event func(id string, n int) string

// Order finds streams with an event that is missing, comes twice, is altered or is
// of another request, and those that end as complete before their last event.
func Order(c *Case) []Violation {
	var all []Violation
	for i := range c.Requests {
		q := &c.Requests[i]
		if q.Events == 0 || !q.Succeeded() {
			continue
		}
		if why := c.disorder(q); why != "" {
			all = append(all, found("order of streams", q.Done, "%s: %s", q.ID, why))
		}
	}
	return all
}

// disorder says what is wrong with the events of a stream, or returns "".
func (c *Case) disorder(q *history.Request) string {
	whole := &strings.Builder{}
	for n := range q.Events {
		whole.WriteString(c.event(q.ID, n+1))
	}
	switch {
	case !strings.HasPrefix(whole.String(), q.Text):
		return fmt.Sprintf("its events are not those that one run makes, from %q on", differs(whole.String(), q.Text))
	case q.Whole && len(q.Text) < whole.Len():
		return fmt.Sprintf("it ends as complete after %d of %d bytes", len(q.Text), whole.Len())
	}
	return ""
}

// shownBytes is how much of a stream a violation shows.
const shownBytes = 60

// differs returns the beginning of the part of got that is not as wanted.
func differs(want, got string) string {
	n := 0
	for n < min(len(want), len(got)) && want[n] == got[n] {
		n++
	}
	return got[n:min(len(got), n+shownBytes)]
}
