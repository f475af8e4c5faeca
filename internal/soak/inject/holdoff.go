package inject

import (
	"context"

	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

// holdOffs are the times, in seconds, for which servers ask boxes to hold off: from less than it takes to hear
// of it to more than a run lasts after it.
func holdOffs() []string { return []string{"0.2", "0.7", "1.5", "3", "5"} }

// mostEvery is the most requests of which a server turns one away.
const mostEvery = 3

// holdOff has servers turn each request away, or each second or third, and ask boxes to hold off; for another time in
// the second half.
func (i *Injector) holdOff(ctx context.Context, a schedule.Act) {
	servers := i.inNeed(a)
	asked := holdOffs()
	for half := range 2 {
		for _, e := range servers {
			e.RefuseEvery(1+(a.Pick/ways)%mostEvery, asked[(a.Pick>>pickShift+half)%len(asked)])
		}
		pause.For(ctx, i.Clock, a.Lasts/2)
	}
	for _, e := range servers {
		e.RefuseEvery(0, "")
	}
}
