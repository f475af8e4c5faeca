package policy

import "github.com/dalebend/dalebend/internal/route"

// TwoRandom picks two usable engines at random and takes the one with fewer streams.
type TwoRandom struct{}

// Choose returns the less loaded of two usable engines.
func (TwoRandom) Choose(r *route.Request, v *route.View) (*route.Engine, bool) {
	members := v.Ring.Members()
	var best *route.Engine
	const tries = 8
	drawn := 0
	for range tries {
		if len(members) == 0 || drawn == 2 {
			break
		}
		e := members[v.Rand.IntN(len(members))]
		if !v.Usable(e) || e.Server().Name() == r.Avoid {
			continue
		}
		drawn++
		if best == nil || e.Load() < best.Load() {
			best = e
		}
	}
	return best, best != nil
}
