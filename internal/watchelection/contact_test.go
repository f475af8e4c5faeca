package watchelection_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/digest"
	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/peerstate"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
	"github.com/dalebend/dalebend/internal/storewatch"
	"github.com/dalebend/dalebend/internal/watchelection"
)

// turnedAway is a store that answers a box with its configuration, and turns away its further calls.
type turnedAway struct {
	storewatch.Source

	after time.Duration
}

func (turnedAway) Config(context.Context) ([]byte, storerev.Revision, error) {
	return []byte("v1"), 5, nil
}

func (s turnedAway) Servers(ctx context.Context) (registry.View, error) {
	select {
	case <-time.After(s.after):
	case <-ctx.Done():
	}
	return registry.View{}, errors.New("429")
}

// readServers is a store that tells when its servers are read.
type readServers struct {
	storewatch.Source

	read chan time.Time
}

func (readServers) Config(context.Context) ([]byte, storerev.Revision, error) {
	return []byte("v1"), 5, nil
}

func (s readServers) Servers(ctx context.Context) (registry.View, error) {
	s.read <- time.Now()
	<-ctx.Done()
	return registry.View{}, ctx.Err()
}

// TestContactWithoutServersHoldsNobodyBack: a box that gets its configuration and not the servers keeps no other box from
// reading them within the bound of 2 s.
func TestContactWithoutServersHoldsNobodyBack(t *testing.T) {
	for _, after := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) { playTurnedAway(t, after) })
	}
}

func playTurnedAway(t *testing.T, after time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		live := []member.Box{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "x"}}
		gone := active(live, func(*rig) {})[0]
		var others []member.Box
		for _, box := range live {
			if box.Name != gone {
				others = append(others, box)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 2)
		began := time.Now()
		store := readServers{read: make(chan time.Time, 1)}
		tables := []*peerstate.Table{{Clock: clock}, {Clock: clock}}
		watchers := make([]*storewatch.Watcher, 2)
		for i, source := range []storewatch.Source{turnedAway{after: after}, store} {
			w := &storewatch.Watcher{
				Source: source, Clock: clock, Logger: slog.New(slog.DiscardHandler),
				OnConfig: func([]byte, int64) {}, OnServers: func(registry.View) {},
				Draw: func() float64 { return float64(i) * 0.9 }, RecheckInterval: watchelection.RecheckInterval,
			}
			e := &watchelection.Election{
				Clock: clock, Self: others[i], Peers: tables[i], Live: func() []member.Box { return live }, Store: w.Status,
				Started: clock.Now().Add(-time.Minute),
			}
			w.Active = func() bool { follows, _ := e.Decide(); return follows }
			w.Unconfirmed, w.Seekers, w.Wait = e.Unconfirmed, e.Seekers, e.WatchWait
			watchers[i] = w
			tables[i].Update(&digest.Digest{Box: gone, StoreTried: true, StoreReachable: true})
		}
		report := func(from int) {
			s := watchers[from].Status()
			d := &digest.Digest{Box: others[from].Name, StoreReachable: s.Reachable, StoreTried: s.Reachable || !s.LastFailure.IsZero(), StoreAgeMs: -1}
			if !s.LastContact.IsZero() {
				d.StoreAgeMs = int32(time.Since(s.LastContact).Milliseconds())
			}
			tables[1-from].Update(d)
			watchers[1-from].Wake()
		}
		watchers[0].OnContact = func() { report(0) }
		for _, w := range watchers {
			go func() { done <- w.Run(ctx) }()
		}
		go func() { // heartbeats
			for ctx.Err() == nil {
				time.Sleep(400 * time.Millisecond)
				report(0)
				report(1)
			}
		}()
		asked := (<-store.read).Sub(began)
		cancel()
		<-done
		<-done
		time.Sleep(time.Second)
		require.LessOrEqual(t, asked, 2*time.Second)
	})
}
