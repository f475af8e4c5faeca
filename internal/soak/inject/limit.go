package inject

import (
	"context"
	"strconv"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/internal/soak/schedule"
	"github.com/dalebend/dalebend/platform/standin"
)

// limitsNamed are the limits that servers name, in requests a second: nothing, little, and about
// what they get in a short run.
func limitsNamed() []float64 { return []float64{0, 0.5, 1.5, 3, 6} }

// ways is how many ways there are to choose the servers: one, all of its service, all.
const ways = 3

// limit has servers name a limit, and another one for the second half of the time.
func (i *Injector) limit(ctx context.Context, a schedule.Act) {
	servers := i.inNeed(a)
	named := limitsNamed()
	for half := range 2 {
		i.name(ctx, a, servers, named[(a.Pick>>pickShift+half)%len(named)])
	}
	for _, e := range servers {
		e.SetLimit("")
	}
}

// inNeed returns the servers that an act strikes.
func (i *Injector) inNeed(a schedule.Act) []*standin.BackendServer {
	e, _ := i.Fleet.At(a.Target)
	switch a.Pick % ways {
	case 0:
		return []*standin.BackendServer{e}
	case 1:
		return i.Fleet.Of(e.Service)
	default:
		return i.Fleet.Of("")
	}
}

// name has servers name a limit for half of an act.
func (i *Injector) name(ctx context.Context, a schedule.Act, servers []*standin.BackendServer, perSecond float64) {
	from := i.Record.Now()
	for _, e := range servers {
		e.SetLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	}
	pause.For(ctx, i.Clock, a.Lasts/2)
	to := i.Record.Now()
	i.Record.Add(func(h *history.History) {
		for _, e := range servers {
			h.Limits = append(h.Limits, history.Limit{Server: e.ID, PerSecond: perSecond, From: from, To: to})
		}
	})
}
