package inject

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

const (
	// mostSpared is how many boxes are left alone at most when a server leaves unheard.
	mostSpared = 2
	// leavers is how many servers leave, of each kind of service some, leaveWithin the longest time until they do.
	leavers     = 4
	leaveWithin = 150 * time.Millisecond
	// changeKnown is how long a change takes to be known to all boxes.
	changeKnown = 70 * time.Millisecond
)

// leaveUnheard disturbs all boxes but one or two, so that those which tell the others are among them, and takes some
// servers away right after that, which say so in their entries and not in their answers. A change of each kind comes
// just before, so that all watches have just begun.
func (i *Injector) leaveUnheard(ctx context.Context, a schedule.Act, scope history.Scope, begin func(b Box) (mend func())) error {
	var g errgroup.Group
	g.Go(func() error { return i.leaveFrom(ctx, a, a.Target) })
	i.Operator.Change(a.Pick)
	pause.For(ctx, i.Clock, changeKnown)
	spared := 1 + a.Pick%mostSpared
	var ends []func()
	for n := range len(i.Boxes) - spared {
		box := i.Boxes[(a.Target+n)%len(i.Boxes)]
		over := i.Record.Trouble(a.Kind, scope, box.Process.Name)
		ends = append(ends, begin(box), over)
	}
	for n := range leavers {
		g.Go(func() error {
			pause.For(ctx, i.Clock, time.Duration(a.Pick>>pickShift)*time.Millisecond%leaveWithin)
			return i.leaveFrom(ctx, a, a.Target+1+n)
		})
	}
	pause.For(ctx, i.Clock, a.Lasts)
	for _, end := range ends {
		end()
	}
	return g.Wait()
}

// leaveFrom takes the server of a slot away, and starts another one there.
func (i *Injector) leaveFrom(ctx context.Context, a schedule.Act, slot int) error {
	e, err := i.Fleet.Replace(slot)
	if err != nil {
		return err
	}
	return i.leave(ctx, a, e)
}
