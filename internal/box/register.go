package box

import (
	"context"
	"time"

	"github.com/dalebend/dalebend/internal/member"
)

const (
	// registerRetryInterval is the delay before the next try to register after a failure.
	registerRetryInterval = time.Second
	// boxListDelay is the delay before a box with live peers reads the list of boxes. By then boxes
	// that start together have registered, also in the store's older copy.
	boxListDelay = 5 * time.Second
)

// register adds this box to the list in the store and reads the list, with retries until both
// succeed, and again when the store has come back from an older copy, which may lack the entry. It leaves a
// store alone that no box has reached, and returns nil when the context ends.
//
// Only boxes that others must find there register: those that watch the store, one in each failure
// domain, and those without live peers. Others are found by their heartbeats. Entries of hundreds
// of boxes would be a fifth of all calls to the store.
func (b *Box) register(ctx context.Context) error {
	select {
	case <-b.contact:
	case <-ctx.Done():
		return nil
	}
	for era := int64(-1); ctx.Err() == nil; b.sleep(ctx, registerRetryInterval) {
		now := b.storeEra()
		if now != era && b.entryNeeded() && b.tryRegister(ctx) {
			era = now
		}
	}
	return nil
}

// storeEra returns the newest era of the store that is known, 0 if it states none.
func (b *Box) storeEra() int64 {
	if v := b.share.View(); v != nil {
		return v.Revision.Era()
	}
	return 0
}

// entryNeeded reports whether others may have to find this box in the store.
func (b *Box) entryNeeded() bool { return b.watcher.Status().Reachable || len(b.live()) == 1 }

// tryRegister makes one try to register this box and read the list of boxes, and reports success.
// It does nothing while no box is in contact with the store.
func (b *Box) tryRegister(ctx context.Context) bool {
	if !b.election.RecentContact() {
		return false
	}
	err := b.Platform.Boxes.PutBox(ctx, b.self())
	if err == nil {
		err = b.fetchBoxes(ctx)
	}
	if err != nil && ctx.Err() == nil {
		b.Logger.Warn("box could not register in the store", "error", err)
	}
	return err == nil
}

// fetchBoxes reads the list of boxes: at once if this box has no live peer. Otherwise it gets most
// boxes from its peers, and reads a cheaper copy of the list later, to learn of boxes that are cut
// off.
func (b *Box) fetchBoxes(ctx context.Context) error {
	read := b.Platform.Boxes.Boxes
	if len(b.live()) > 1 {
		if !b.sleep(ctx, boxListDelay) {
			return ctx.Err()
		}
		read = b.Platform.Boxes.RecentBoxes
	}
	boxes, err := read(ctx)
	if err != nil {
		return err
	}
	b.setBoxes(boxes)
	return nil
}

// setBoxes sets the listed boxes of the fleet.
func (b *Box) setBoxes(boxes []member.Box) {
	b.raiseMaxBoxes(len(boxes))
	b.node.SetListedBoxes(boxes)
}

// sleep waits for d, and returns false if the context ended first.
func (b *Box) sleep(ctx context.Context, d time.Duration) bool {
	timer := b.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}
