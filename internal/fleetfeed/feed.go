// Package fleetfeed brings the configuration and the members from the controller
// of the same box into a router.
//
// When the controller is gone the router goes on with what it has; only before the
// first snapshot is it not ready.
package fleetfeed

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/control"
	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/fleetdelta"
	"github.com/dalebend/dalebend/internal/peerrpc"
)

const (
	wait  = 2 * time.Second
	slack = 2 * time.Second
	pause = 250 * time.Millisecond
)

// holder takes snapshots that come into force.
type holder interface {
	Offer(s *fleet.Snapshot) bool
}

// Feed follows one controller. Set the exported fields before Run.
type Feed struct {
	// Controller is the rpc client of the controller.
	Controller *peerrpc.Client
	// Holder takes the snapshots.
	Holder holder
	// OnMembers hears changes of boxes and backend servers.
	OnMembers func(m *control.Members)
	// Demand returns what the router has to do, by model.
	Demand func() map[string]float64
	// Clock gives the time.
	Clock clockwork.Clock
	// Logger hears changes of state.
	Logger *slog.Logger

	state   *fleetdelta.State
	members uint64
	lost    bool
}

// Run follows the controller until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.once(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(pause):
		}
	}
}

// note logs when the controller goes and comes.
func (f *Feed) note(err error) {
	switch {
	case err != nil && !f.lost:
		f.Logger.Warn("controller does not answer, going on with what is known", "err", err)
	case err == nil && f.lost:
		f.Logger.Info("controller answers again")
	}
	f.lost = err != nil
}

// once waits for news and takes it.
func (f *Feed) once(ctx context.Context) error {
	args := &control.FetchArgs{WantMembers: true, Members: f.members, Wait: wait, Demand: f.Demand()}
	if f.state != nil {
		args.After = f.state.Version()
	}
	reply := &control.FetchReply{}
	if err := f.Controller.Call(ctx, control.MethodFetch, args, reply, wait+slack); err != nil {
		return err
	}
	if reply.Members != nil {
		f.members = reply.Members.Revision
		f.OnMembers(reply.Members)
	}
	if reply.Delta == nil {
		return nil
	}
	return f.take(reply.Delta)
}

// take puts a change in force. One that does not fit makes the feed begin anew.
func (f *Feed) take(d *fleetdelta.Delta) error {
	state, err := fleetdelta.Apply(f.state, d)
	if err != nil {
		f.state = nil
		return fmt.Errorf("take change: %w", err)
	}
	file, err := state.File()
	if err != nil {
		f.state = nil
		return fmt.Errorf("take change: %w", err)
	}
	f.state = state
	f.Holder.Offer(fleet.New(state.Version(), file))
	return nil
}
