package run

import (
	"fmt"
	"time"

	"github.com/dalebend/dalebend/internal/soak/check"
	"github.com/dalebend/dalebend/internal/soak/history"
)

// Result is what a soak found.
type Result struct {
	Seed uint64
	// Faults counts the acts of the schedule, planned work included.
	Faults     history.Counts
	History    *history.History
	Violations []check.Violation
}

// Outcomes counts the requests, under "requests", and what became of them.
func (r *Result) Outcomes() history.Counts {
	counts := history.Counts{"requests": len(r.History.Requests)}
	for i := range r.History.Requests {
		counts[outcome(&r.History.Requests[i])]++
	}
	return counts
}

func outcome(q *history.Request) history.Kind {
	switch {
	case q.GivenUp:
		return "given up"
	case !q.Answered():
		return "cut"
	case q.Served():
		return "served"
	case check.PromisesNotRun(q.Status):
		return "refused"
	}
	return "failed"
}

// Held returns how long the soak itself was held up.
func (r *Result) Held() time.Duration {
	sum := time.Duration(0)
	for _, t := range r.History.Troubles {
		if t.Kind == history.Held {
			sum += t.To - t.From
		}
	}
	return sum
}

// String returns the result as one line.
func (r *Result) String() string {
	return fmt.Sprintf("seed %d; faults: %v; %v; held up for %v; violations: %d",
		r.Seed, r.Faults, r.Outcomes(), r.Held().Round(time.Millisecond), len(r.Violations))
}
