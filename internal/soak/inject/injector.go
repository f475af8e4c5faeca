// Package inject carries out the acts of a schedule on a running soak.
package inject

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/soak/backends"
	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/operator"
	"github.com/dalebend/dalebend/internal/soak/pause"
	"github.com/dalebend/dalebend/internal/soak/process"
	"github.com/dalebend/dalebend/internal/soak/proxy"
	"github.com/dalebend/dalebend/internal/soak/schedule"
)

// Box is what can be done to one box.
type Box struct {
	Process *process.Process
	// Callers is the proxy before it, Store the one to the store.
	Callers *proxy.Proxy
	Store   *proxy.Proxy
	// Partition is the file that cuts it off from all servers.
	Partition string
}

// Injector carries out acts. Set the exported fields before Run.
type Injector struct {
	Boxes    []Box
	Fleet    *backends.Fleet
	Store    *Store
	Operator *operator.Operator
	Record   *history.Recorder
	Clock    clockwork.Clock
	Logger   *slog.Logger
	// Serves is how long servers serve on after the store has taken that they leave.
	Serves time.Duration

	mu     sync.Mutex
	counts history.Counts
}

// Run carries out acts at their times from now on, and returns when all are over. It
// counts those that were begun, by kind.
func (i *Injector) Run(ctx context.Context, acts []schedule.Act) (history.Counts, error) {
	i.counts = make(history.Counts)
	began := i.Clock.Now()
	g, ctx := errgroup.WithContext(ctx)
	for _, a := range acts {
		if !pause.For(ctx, i.Clock, a.At-i.Clock.Since(began)) {
			break
		}
		g.Go(func() error { return i.strike(ctx, a) })
	}
	err := g.Wait()
	return i.counts, err
}

// storePrefix begins the kinds that strike the store, and those of links to it.
const storePrefix = "store-"

// strike carries one act out and waits until it is over.
func (i *Injector) strike(ctx context.Context, a schedule.Act) error {
	i.mu.Lock()
	i.counts[a.Kind]++
	i.mu.Unlock()
	i.Logger.Debug("act", "kind", a.Kind, "target", a.Target, "lasts", a.Lasts, "at", i.Record.Now())
	box := i.Boxes[a.Target%len(i.Boxes)]
	switch {
	case a.Kind == schedule.BoxStop:
		// A planned stop excuses nothing, so it is no trouble of its own.
		box.Process.Stop()
	case a.Kind == schedule.BoxHangUp:
		box.Process.HangUp()
	case a.Kind == schedule.BoxKill, a.Kind == schedule.BoxPause:
		i.disturb(ctx, a, history.OnBox, box.Process.Name, func() func() { return signal(box.Process, a.Kind) })
	case a.Kind == schedule.BoxesIsolated:
		return i.isolate(ctx, a)
	case a.Kind == schedule.FollowersCut:
		return i.leaveUnheard(ctx, a, history.OnStoreLink, func(b Box) func() { return impair(b.Store, schedule.Silent, a.Pick) })
	case a.Kind == schedule.BoxesSleep:
		return i.leaveUnheard(ctx, a, history.OnBox, func(b Box) func() { return b.Process.Pause() })
	case onLink(a.Kind):
		i.link(ctx, a, box)
	case strings.HasPrefix(string(a.Kind), storePrefix):
		i.strikeStore(ctx, a)
	case a.Kind == schedule.OddEntries:
		i.plantOdd(ctx, a)
	case a.Kind == schedule.ConfigChanges:
		i.Operator.Change(a.Pick)
	default:
		return i.server(ctx, a)
	}
	return nil
}

// strikeStore lets the store fail, or come back from an older copy.
func (i *Injector) strikeStore(ctx context.Context, a schedule.Act) {
	if a.Kind == schedule.StoreReturns {
		i.returnStore(ctx, a)
		return
	}
	i.disturb(ctx, a, history.OnStore, "", func() func() { return i.Store.begin(a) })
}

// disturb begins a trouble, and ends it when it has lasted.
func (i *Injector) disturb(ctx context.Context, a schedule.Act, scope history.Scope, target string, begin func() (mend func())) {
	over := i.Record.Trouble(a.Kind, scope, target)
	defer over()
	mend := begin()
	pause.For(ctx, i.Clock, a.Lasts)
	mend()
}

// signal kills or pauses a box, and returns what takes that back.
func signal(p *process.Process, kind history.Kind) (mend func()) {
	if kind == schedule.BoxPause {
		return p.Pause()
	}
	p.Kill()
	return func() {}
}
