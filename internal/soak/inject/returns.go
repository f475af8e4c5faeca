package inject

import (
	"context"
	"strconv"
	"time"

	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/internal/soak/schedule"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// storeAway is how long the store is away before it comes back from a copy.
	storeAway = 400 * time.Millisecond
	// writeAgainIn is the time within which servers and operator write theirs again.
	writeAgainIn = 1200 * time.Millisecond
	// returnsMost is how often the store comes back from one copy.
	returnsMost = 2
	// otherWrites is how many changes of objects that boxes don't read are lost, so that the store's revisions stay below
	// those of before.
	otherWrites = 80
)

// returnStore copies the store, and lets it come back from the copy after the time of the act, once or twice in a row. Before
// a second return only half of what was lost has been written again.
func (i *Injector) returnStore(ctx context.Context, a schedule.Act) {
	copied := i.Store.Server.Copy()
	for n := range otherWrites {
		i.Store.Server.Put("others", "object", strconv.Itoa(n))
		pause.For(ctx, i.Clock, a.Lasts/otherWrites)
	}
	defer i.Record.Trouble(a.Kind, history.OnStore, "")()
	for left := 1 + a.Pick%returnsMost; left > 0; left-- {
		mend := i.Store.fail(standin.Fault{Mode: standin.Reset})
		pause.For(ctx, i.Clock, storeAway)
		i.Store.Server.Return(copied)
		mend()
		i.writeAgain(ctx, left)
	}
}

// writeAgain has the writers of what the store has lost write one part of it again.
func (i *Injector) writeAgain(ctx context.Context, parts int) {
	lost := i.Store.Server.Lost()
	for _, key := range lost[:(len(lost)+parts-1)/parts] {
		pause.For(ctx, i.Clock, writeAgainIn/time.Duration(len(lost)))
		i.Store.Server.WriteAgain(key)
	}
}
