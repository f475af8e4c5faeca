package storewatch

import (
	"context"
	"errors"
	"time"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// Source reads the metadata store. Its calls must end by themselves, a watch shortly after its wait
// is over. Any error except those below means that the store was not reached.
type Source interface {
	// Config returns the configuration document, nil if there is none, and the revision from which
	// to watch it.
	Config(ctx context.Context) (doc []byte, revision storerev.Revision, err error)
	// WatchConfig waits for a change of the document after a revision. The document is nil if there
	// was none; at is the revision from which to continue.
	WatchConfig(ctx context.Context, from storerev.Revision, wait time.Duration) (doc []byte, at storerev.Revision, err error)
	// Servers returns all entries. A watch continues from the view's revision.
	Servers(ctx context.Context) (registry.View, error)
	// WatchServers waits for changes of entries after a revision, and returns them with the
	// revision from which to continue.
	WatchServers(ctx context.Context, from storerev.Revision, wait time.Duration) (changes []registry.Change, at storerev.Revision, err error)
	// Cordons returns the failure domains that get no more work. A watch continues from their
	// revision.
	Cordons(ctx context.Context) (registry.Cordons, error)
	// WatchCordons waits for changes of the cordons after a revision, and returns them with the
	// revision from which to continue.
	WatchCordons(ctx context.Context, from storerev.Revision, wait time.Duration) (changes []registry.CordonChange, at storerev.Revision, err error)
}

// Errors of a Source after which the state is read again at once.
var (
	// ErrHistoryGone means that the store no longer keeps the changes after the revision of a
	// watch.
	ErrHistoryGone = errors.New("store no longer keeps the changes asked for")
	// ErrWatchCut means that the connection of a watch ended before its answer. Stores occasionally
	// cut watches; reading again shows whether the store is away.
	ErrWatchCut = errors.New("watch was cut")
	// ErrWatchSilent means that a watch was not answered in time. A store that drops its history
	// may leave waiting watches without an answer while it serves other calls.
	ErrWatchSilent = errors.New("watch was not answered in time")
)
