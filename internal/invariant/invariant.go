// Package invariant is the one place through which a broken assumption goes.
//
// A check that fails is counted under its name and stops the process with a
// panic that names it: going on would deliver a wrong answer. Bad input,
// failed links and full queues are outcomes, never invariants.
package invariant

import (
	"fmt"

	"github.com/rcrowley/go-metrics"
)

// Violation is the value that a failed check panics with.
type Violation struct {
	name   string
	detail string
}

// Error returns the name of the check and what was seen.
func (v Violation) Error() string {
	return "invariant " + v.name + " broken: " + v.detail
}

// Name returns the name of the failed check.
func (v Violation) Name() string { return v.name }

// Check panics with a Violation unless ok holds.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	metrics.GetOrRegisterCounter("invariant.broken."+name, nil).Inc(1)
	panic(Violation{name: name, detail: fmt.Sprintf(format, args...)})
}
