package inject

import (
	"context"
	"errors"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/partition"
	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

// isolate cuts boxes off from all servers: one, or up to all but one, each in a way of its own.
func (i *Injector) isolate(ctx context.Context, a schedule.Act) error {
	if len(i.Boxes) < 2 {
		return nil
	}
	modes := partition.Modes()
	var errs []error
	count := 1 + a.Pick%(len(i.Boxes)-1)
	for n := range count {
		box := i.Boxes[(a.Target+n)%len(i.Boxes)]
		defer i.Record.Trouble(a.Kind, history.OnServerPaths, box.Process.Name)()
		errs = append(errs, partition.Write(box.Partition, modes[(a.Pick>>pickShift+n)%len(modes)]))
	}
	pause.For(ctx, i.Clock, a.Lasts)
	for n := range count {
		errs = append(errs, partition.Write(i.Boxes[(a.Target+n)%len(i.Boxes)].Partition, partition.None))
	}
	return errors.Join(errs...)
}
