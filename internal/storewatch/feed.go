package storewatch

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// feed is the copy of one kind of state. A feed is used by one goroutine at a time.
type feed interface {
	// read reads the whole state and delivers it.
	read(ctx context.Context) error
	// watch waits for changes and delivers them, and calls answered when the store has answered. It
	// returns how many there were.
	watch(ctx context.Context, wait time.Duration, answered func()) (int, error)
}

// staleError means that an answer is older than an earlier one.
type staleError struct {
	what      string
	got, have storerev.Revision
}

func (e *staleError) Error() string {
	return fmt.Sprintf("store answered with %s of revision %v after revision %v", e.what, e.got, e.have)
}

// configFeed is the copy of the configuration document.
type configFeed struct {
	source  Source
	deliver func(doc []byte, era int64)
	doc     []byte
	at      storerev.Revision
}

func (f *configFeed) read(ctx context.Context) error {
	doc, at, err := f.source.Config(ctx)
	if err != nil {
		return err
	}
	return f.take(doc, at)
}

func (f *configFeed) watch(ctx context.Context, wait time.Duration, answered func()) (int, error) {
	doc, at, err := f.source.WatchConfig(ctx, f.at, wait)
	if err == nil {
		err = f.take(doc, at)
	}
	if err != nil {
		return 0, err
	}
	answered()
	if doc == nil {
		return 0, nil
	}
	return 1, nil
}

// take delivers a new document. If the store no longer has one the last document stays in use, so
// that requests are still served.
func (f *configFeed) take(doc []byte, at storerev.Revision) error {
	if at < f.at {
		return &staleError{what: "the configuration", got: at, have: f.at}
	}
	laterEra := f.at.EarlierEra(at)
	f.at = at
	if doc != nil && (laterEra || !bytes.Equal(doc, f.doc)) {
		f.doc = doc
		f.deliver(doc, at.Era())
	}
	return nil
}

// serversFeed is the copy of the backend servers' entries.
type serversFeed struct {
	source  Source
	deliver func(registry.View)
	// newest returns the newest view from any source; nil if there is none.
	newest func() *registry.View
	// awaitDelivery delays the delivery of a change that another box may publish first.
	awaitDelivery func(ctx context.Context)
	view          registry.View
}

func (f *serversFeed) read(ctx context.Context) error {
	view, err := f.source.Servers(ctx)
	if err != nil {
		return err
	}
	if view.Revision < f.view.Revision {
		return &staleError{what: "the servers", got: view.Revision, have: f.view.Revision}
	}
	f.view = view
	f.deliver(view)
	return nil
}

func (f *serversFeed) watch(ctx context.Context, wait time.Duration, answered func()) (int, error) {
	f.catchUp()
	changes, at, err := f.source.WatchServers(ctx, f.view.Revision, wait)
	if err != nil {
		return 0, err
	}
	if at < f.view.Revision {
		return 0, &staleError{what: "changes of servers", got: at, have: f.view.Revision}
	}
	answered()
	if len(changes) == 0 {
		f.view.Revision = at
		return 0, nil
	}
	next := f.view.With(changes, at)
	f.awaitDelivery(ctx)
	if v := f.newest(); v != nil && v.Revision >= at {
		return len(changes), nil
	}
	f.view = next
	f.deliver(next)
	return len(changes), nil
}

// catchUp continues from a newer view received from other boxes, so that a watch brings only what
// is not yet known. Views of the same revision are equal whoever read them.
func (f *serversFeed) catchUp() {
	if v := f.newest(); v != nil && v.Revision > f.view.Revision {
		f.view = *v
	}
}

// cordonsFeed is the copy of the cordons.
type cordonsFeed struct {
	source  Source
	deliver func(registry.Cordons)
	cordons registry.Cordons
	// at is the revision from which the watch continues: that of the cordons, or a later one at
	// which they were unchanged.
	at storerev.Revision
}

func (f *cordonsFeed) read(ctx context.Context) error {
	cordons, err := f.source.Cordons(ctx)
	if err != nil {
		return err
	}
	return f.take(cordons)
}

func (f *cordonsFeed) watch(ctx context.Context, wait time.Duration, answered func()) (int, error) {
	changes, at, err := f.source.WatchCordons(ctx, f.at, wait)
	switch {
	case err != nil:
	case len(changes) > 0:
		err = f.take(f.cordons.With(changes, at))
	case at < f.at:
		err = f.stale(at)
	default:
		f.at = at
	}
	if err != nil {
		return 0, err
	}
	answered()
	return len(changes), nil
}

func (f *cordonsFeed) take(cordons registry.Cordons) error {
	if cordons.Revision < f.at {
		return f.stale(cordons.Revision)
	}
	f.cordons, f.at = cordons, cordons.Revision
	f.deliver(cordons)
	return nil
}

func (f *cordonsFeed) stale(got storerev.Revision) error {
	return &staleError{what: "the cordons", got: got, have: f.at}
}
