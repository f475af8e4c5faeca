// Package keeper synchronizes the held requests with the platform's store, so that holds survive a
// restart of all boxes, and operators can see and lift them there.
//
// Every box that watches the store does this, without coordination: writing the same hold twice
// does no harm. A hold that is removed from the store is lifted at all boxes. One that the store lacks as it
// came back from an older copy is written again.
package keeper

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/fingerprint"
	"github.com/dalebend/dalebend/internal/quarantine"
	"github.com/dalebend/dalebend/internal/storerev"
)

const (
	// watchWait is how long a watch waits for a change. Holds change rarely, and the store counts a
	// waiting watch as one call.
	watchWait = 25 * time.Second
	// minRetryDelay is the delay after a failed call, which doubles up to maxRetryDelay: a store
	// that has no holds yet may not know their kind.
	minRetryDelay = time.Second
	maxRetryDelay = 16 * time.Second
	// reviewInterval is how often the store is compared with the tracker if no change is known, to
	// remove expired holds.
	reviewInterval = time.Minute
)

// Source is the part of the store that has the holds. Calls must end by themselves.
type Source interface {
	// Holds returns all holds, and the revision from which to watch them.
	Holds(ctx context.Context) ([]quarantine.Hold, storerev.Revision, error)
	// WatchHolds waits for changes after a revision, and returns them with the revision from which
	// to continue.
	WatchHolds(ctx context.Context, from storerev.Revision, wait time.Duration) ([]Change, storerev.Revision, error)
	// PutHold writes a hold; an existing hold is no error.
	PutHold(ctx context.Context, h quarantine.Hold) error
	// DropHold removes a hold; a missing hold is no error.
	DropHold(ctx context.Context, f fingerprint.Fingerprint) error
}

// Change is one change of the holds in the store.
type Change struct {
	// Hold has only the fingerprint if it was removed.
	Hold    quarantine.Hold
	Removed bool
}

// Keeper synchronizes the holds of one box. Set the exported fields before use.
type Keeper struct {
	Clock   clockwork.Clock
	Logger  *slog.Logger
	Source  Source
	Tracker *quarantine.Tracker

	once sync.Once
	wake chan struct{}

	mu sync.Mutex
	// at is the revision from which the watch continues.
	at storerev.Revision
	// stored are the holds in the store; nil before the first Load.
	stored map[fingerprint.Fingerprint]bool
}

// Wake triggers a comparison of the store with the tracker. It does not block.
func (k *Keeper) Wake() {
	k.prepare()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) prepare() { k.once.Do(func() { k.wake = make(chan struct{}, 1) }) }

// Load reads the holds of the store.
func (k *Keeper) Load(ctx context.Context) error {
	// Holds written during the call may or may not be in the answer.
	before := k.known()
	holds, at, err := k.Source.Holds(ctx)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	lost := k.at.EarlierEra(at)
	k.at = at
	k.stored = make(map[fingerprint.Fingerprint]bool, len(holds))
	for _, h := range holds {
		k.applyHold(h)
	}
	for _, f := range before {
		if !k.stored[f] && !lost {
			// It was removed while this box was not watching.
			k.Tracker.Lift(f)
		}
	}
	return nil
}

// known returns the holds that are known to be in the store.
func (k *Keeper) known() []fingerprint.Fingerprint {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Collect(maps.Keys(k.stored))
}

// applyHold applies a hold of the store. The lock must be held.
func (k *Keeper) applyHold(h quarantine.Hold) {
	k.stored[h.Fingerprint] = true
	k.Tracker.ApplyHold(h)
}

// Follow keeps the store and the tracker in sync until the context ends. Load must have been
// called.
func (k *Keeper) Follow(ctx context.Context) {
	k.prepare()
	var done sync.WaitGroup
	done.Go(func() { k.flushLoop(ctx) })
	defer done.Wait()
	rest := minRetryDelay
	for ctx.Err() == nil {
		if err := k.watch(ctx); err == nil {
			rest = minRetryDelay
			continue
		}
		k.pause(ctx, rest)
		rest = min(2*rest, maxRetryDelay)
		// Changes made meanwhile may be missing from the next watch.
		if err := k.Load(ctx); err != nil && ctx.Err() == nil {
			k.Logger.Debug("cannot read holds from the store", "error", err)
		}
		k.Wake()
	}
}

func (k *Keeper) watch(ctx context.Context) error {
	k.mu.Lock()
	from := k.at
	k.mu.Unlock()
	changes, at, err := k.Source.WatchHolds(ctx, from, watchWait)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.at = at
	for _, c := range changes {
		if !c.Removed {
			k.applyHold(c.Hold)
			continue
		}
		if k.stored[c.Hold.Fingerprint] {
			delete(k.stored, c.Hold.Fingerprint)
			k.Tracker.Lift(c.Hold.Fingerprint)
		}
	}
	return nil
}

// flushLoop calls Flush whenever the holds change, and at least every reviewInterval.
func (k *Keeper) flushLoop(ctx context.Context) {
	for ctx.Err() == nil {
		rest := reviewInterval
		if !k.Flush(ctx) {
			rest = minRetryDelay
		}
		timer := k.Clock.NewTimer(rest)
		select {
		case <-k.wake:
		case <-timer.Chan():
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// Flush writes the holds that the store lacks, and removes those that no longer count. It reports
// whether that succeeded. It does nothing before the first Load.
func (k *Keeper) Flush(ctx context.Context) bool {
	missing, void := k.difference()
	good := true
	for _, h := range missing {
		good = k.call(ctx, h.Fingerprint, true, func() error { return k.Source.PutHold(ctx, h) }) && good
	}
	for _, f := range void {
		good = k.call(ctx, f, false, func() error { return k.Source.DropHold(ctx, f) }) && good
	}
	return good
}

// difference returns the holds that the store lacks, and those that it should not have: their ends don't
// count any more. One whose ends another hold explains stays, as boxes may know different ends.
func (k *Keeper) difference() (missing []quarantine.Hold, void []fingerprint.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stored == nil {
		return nil, nil
	}
	for _, h := range k.Tracker.Holds() {
		if !k.stored[h.Fingerprint] {
			missing = append(missing, h)
		}
	}
	for f := range k.stored {
		if !k.Tracker.MayHold(f) {
			void = append(void, f)
		}
	}
	return missing, void
}

// call makes a call to the store, and records whether the store has the hold afterwards.
func (k *Keeper) call(ctx context.Context, f fingerprint.Fingerprint, has bool, do func() error) bool {
	if err := do(); err != nil {
		if ctx.Err() == nil {
			k.Logger.Warn("cannot update hold in the store", "fingerprint", f.String(), "error", err)
		}
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if has {
		k.stored[f] = true
	} else {
		delete(k.stored, f)
	}
	return true
}

func (k *Keeper) pause(ctx context.Context, d time.Duration) {
	timer := k.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
