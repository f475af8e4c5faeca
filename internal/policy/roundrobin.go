package policy

import "github.com/dalebend/dalebend/internal/route"

// RoundRobin picks the engines in turn, regardless of their load.
type RoundRobin struct{ next int }

// Choose returns the next usable engine.
func (p *RoundRobin) Choose(r *route.Request, v *route.View) (*route.Engine, bool) {
	members := v.Ring.Members()
	for range members {
		e := members[p.next%len(members)]
		p.next++
		if v.Usable(e) && e.Server().Name() != r.Avoid {
			return e, true
		}
	}
	return nil, false
}
