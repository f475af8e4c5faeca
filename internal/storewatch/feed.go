package storewatch

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/dalebend/dalebend/internal/registry"
)

// feed is the copy of one kind of state. A feed is used by one goroutine at a
// time.
type feed interface {
	// read reads the whole state and delivers it.
	read(ctx context.Context) error
	// watch waits for changes and delivers them. It returns how many there were.
	watch(ctx context.Context, wait time.Duration) (int, error)
}

// staleError is an answer that is older than an earlier one.
type staleError struct {
	what      string
	got, have int64
}

func (e *staleError) Error() string {
	return fmt.Sprintf("store answered with %s of revision %d after revision %d", e.what, e.got, e.have)
}

// configFeed is the copy of the configuration document.
type configFeed struct {
	source  Source
	deliver func(doc []byte)
	doc     []byte
	at      int64
}

func (f *configFeed) read(ctx context.Context) error {
	doc, at, err := f.source.Config(ctx)
	if err != nil {
		return err
	}
	return f.take(doc, at)
}

func (f *configFeed) watch(ctx context.Context, wait time.Duration) (int, error) {
	doc, at, err := f.source.WatchConfig(ctx, f.at, wait)
	if err != nil {
		return 0, err
	}
	if doc == nil {
		return 0, f.take(doc, at)
	}
	return 1, f.take(doc, at)
}

// take keeps the last document if there is none any more: requests are still to
// be served.
func (f *configFeed) take(doc []byte, at int64) error {
	if at < f.at {
		return &staleError{what: "the configuration", got: at, have: f.at}
	}
	f.at = at
	if doc != nil && !bytes.Equal(doc, f.doc) {
		f.doc = doc
		f.deliver(doc)
	}
	return nil
}

// serversFeed is the copy of the backend servers' entries.
type serversFeed struct {
	source  Source
	deliver func(registry.View)
	// known returns the newest view from whatever source; nil if there is none.
	known func() *registry.View
	// hold waits before a change is delivered that another box may tell of.
	hold func(ctx context.Context)
	view registry.View
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

func (f *serversFeed) watch(ctx context.Context, wait time.Duration) (int, error) {
	f.catchUp()
	changes, at, err := f.source.WatchServers(ctx, f.view.Revision, wait)
	if err != nil {
		return 0, err
	}
	if at < f.view.Revision {
		return 0, &staleError{what: "changes of servers", got: at, have: f.view.Revision}
	}
	if len(changes) == 0 {
		f.view.Revision = at
		return 0, nil
	}
	next := f.view.With(changes, at)
	f.hold(ctx)
	if v := f.known(); v != nil && v.Revision >= at {
		return len(changes), nil
	}
	f.view = next
	f.deliver(next)
	return len(changes), nil
}

// catchUp goes on from a newer view that others told, so that a watch brings only
// what nobody has heard. Views of the same revision are the same whoever read them.
func (f *serversFeed) catchUp() {
	if v := f.known(); v != nil && v.Revision > f.view.Revision {
		f.view = *v
	}
}

// cordonsFeed is the copy of the cordons.
type cordonsFeed struct {
	source  Source
	deliver func(registry.Cordons)
	cordons registry.Cordons
	// at is the revision to go on from: that of the cordons, or a later one at which they
	// were still the same.
	at int64
}

func (f *cordonsFeed) read(ctx context.Context) error {
	cordons, err := f.source.Cordons(ctx)
	if err != nil {
		return err
	}
	return f.take(cordons)
}

func (f *cordonsFeed) watch(ctx context.Context, wait time.Duration) (int, error) {
	changes, at, err := f.source.WatchCordons(ctx, f.at, wait)
	if err != nil {
		return 0, err
	}
	if len(changes) > 0 {
		return len(changes), f.take(f.cordons.With(changes, at))
	}
	if at < f.at {
		return 0, f.stale(at)
	}
	f.at = at
	return 0, nil
}

func (f *cordonsFeed) take(cordons registry.Cordons) error {
	if cordons.Revision < f.at {
		return f.stale(cordons.Revision)
	}
	f.cordons, f.at = cordons, cordons.Revision
	f.deliver(cordons)
	return nil
}

func (f *cordonsFeed) stale(got int64) error {
	return &staleError{what: "the cordons", got: got, have: f.at}
}
