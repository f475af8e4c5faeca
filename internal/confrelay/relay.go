// Package confrelay holds the configuration that a controller has in force and
// hands its changes on.
//
// Invariant: the version never falls. A reader that is a few versions behind gets
// one merged delta, one that is further behind gets the whole state.
package confrelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/fleetdelta"
	"github.com/dalebend/dalebend/internal/invariant"
)

// deltasKept is how many versions behind a reader may be and still get a delta.
const deltasKept = 64

// Relay is safe for concurrent use. Set Clock before use.
type Relay struct {
	// Clock gives the time.
	Clock clockwork.Clock

	mu      sync.Mutex
	state   *fleetdelta.State
	deltas  []*fleetdelta.Delta
	changed chan struct{}
	hear    []func(*fleetdelta.State)
}

// State returns what is in force, or nil before the first.
func (r *Relay) State() *fleetdelta.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Version returns the version in force, or 0.
func (r *Relay) Version() uint64 {
	if s := r.State(); s != nil {
		return s.Version()
	}
	return 0
}

// Subscribe calls hear with each state that comes into force, in order.
func (r *Relay) Subscribe(hear func(*fleetdelta.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hear = append(r.hear, hear)
	if r.state != nil {
		hear(r.state)
	}
}

// Offer puts a state in force if it is newer, and reports whether it was.
func (r *Relay) Offer(s *fleetdelta.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil && s.Version() <= r.state.Version() {
		return false
	}
	if r.state != nil {
		r.deltas = append(r.deltas, s.Since(r.state))
		if len(r.deltas) > deltasKept {
			r.deltas = slices.Delete(r.deltas, 0, len(r.deltas)-deltasKept)
		}
		invariant.Check(s.Version() > r.state.Version(), "version-rises",
			"state %d after %d", s.Version(), r.state.Version())
	}
	r.state = s
	for _, hear := range r.hear {
		hear(s)
	}
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	return true
}

// Wait returns the change since a version, waiting for one; nil when there is none
// before the wait is over.
func (r *Relay) Wait(ctx context.Context, after uint64, wait time.Duration) *fleetdelta.Delta {
	timer := r.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		d, changed := r.since(after)
		if d != nil {
			return d
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// since returns the change since a version, or a channel that closes at the next.
func (r *Relay) since(after uint64) (*fleetdelta.Delta, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil && r.state.Version() > after {
		if d := merge(r.deltas, after); d != nil {
			return d, nil
		}
		return r.state.Since(nil), nil
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return nil, r.changed
}

// merge joins the deltas that follow a version; nil when the first is not kept.
func merge(deltas []*fleetdelta.Delta, after uint64) *fleetdelta.Delta {
	i := slices.IndexFunc(deltas, func(d *fleetdelta.Delta) bool { return d.Base == after })
	if i < 0 || after == 0 {
		return nil
	}
	out := &fleetdelta.Delta{Base: after, Set: make(map[string][]byte)}
	removed := make(map[string]bool)
	for _, d := range deltas[i:] {
		for k, v := range d.Set {
			out.Set[k] = v
			delete(removed, k)
		}
		for _, k := range d.Removed {
			delete(out.Set, k)
			removed[k] = true
		}
		out.Version, out.Digest = d.Version, d.Digest
	}
	for k := range removed {
		out.Removed = append(out.Removed, k)
	}
	slices.Sort(out.Removed)
	return out
}
