// Package policy selects an engine-choosing policy by name: route.Forecast or one of
// the baselines that it is compared with.
package policy

import (
	"fmt"

	"github.com/dalebend/dalebend/internal/route"
)

// Policy chooses an engine for a request; ok is false if the request should wait.
type Policy interface {
	Choose(r *route.Request, v *route.View) (e *route.Engine, ok bool)
}

// ByName returns the policy with the given name in the settings.
func ByName(name string) (Policy, error) {
	switch name {
	case "dalebend":
		return route.Forecast{}, nil
	case "round-robin":
		return &RoundRobin{}, nil
	case "least-in-flight":
		return LeastInFlight{}, nil
	case "two-random":
		return TwoRandom{}, nil
	default:
		return nil, fmt.Errorf("policy %q is not known", name)
	}
}
