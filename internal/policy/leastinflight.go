package policy

import "github.com/dalebend/dalebend/internal/route"

// LeastInFlight picks the engine with the fewest known streams: those of this box and
// those that load reports show for other boxes.
type LeastInFlight struct{}

// Choose returns the usable engine with the fewest streams.
func (LeastInFlight) Choose(r *route.Request, v *route.View) (*route.Engine, bool) {
	members := v.Ring.Members()
	var best *route.Engine
	start := 0
	if len(members) > 0 {
		start = v.Rand.IntN(len(members))
	}
	for i := range members {
		e := members[(start+i)%len(members)]
		if !v.Usable(e) || e.Server().Name() == r.Avoid {
			continue
		}
		if best == nil || e.Load() < best.Load() {
			best = e
		}
	}
	return best, best != nil
}
