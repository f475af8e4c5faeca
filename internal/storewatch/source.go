package storewatch

import (
	"context"
	"errors"
	"time"

	"github.com/dalebend/dalebend/internal/registry"
)

// Source reads the metadata store. Its calls must end by themselves, a watch
// shortly after its wait is over. Any error but those below means that the
// store was not reached.
type Source interface {
	// Config returns the configuration document and the revision to watch it
	// from. The document is nil if there is none.
	Config(ctx context.Context) (doc []byte, revision int64, err error)
	// WatchConfig waits for a change of the document after a revision. The
	// document is nil if there was none; at is the revision to go on from.
	WatchConfig(ctx context.Context, from int64, wait time.Duration) (doc []byte, at int64, err error)
	// Servers returns all entries. A watch goes on from the view's revision.
	Servers(ctx context.Context) (registry.View, error)
	// WatchServers waits for changes of entries after a revision, and returns
	// them with the revision to go on from.
	WatchServers(ctx context.Context, from int64, wait time.Duration) (changes []registry.Change, at int64, err error)
	// Cordons returns the failure domains that are to get no more work. A watch goes on
	// from their revision.
	Cordons(ctx context.Context) (registry.Cordons, error)
	// WatchCordons waits for changes of the cordons after a revision, and returns them with
	// the revision to go on from.
	WatchCordons(ctx context.Context, from int64, wait time.Duration) (changes []registry.CordonChange, at int64, err error)
}

// Errors of a Source after which the state is read again at once.
var (
	// ErrHistoryGone means that the store no longer keeps the changes after the
	// revision of a watch.
	ErrHistoryGone = errors.New("store no longer keeps the changes asked for")
	// ErrWatchCut means that the connection of a watch ended before its answer.
	// Stores cut watches now and then, so reading again tells whether the store
	// is away.
	ErrWatchCut = errors.New("watch was cut")
	// ErrWatchSilent means that a watch was not answered in time. A store that
	// drops its history may leave the watches that wait without an answer while
	// it serves other calls.
	ErrWatchSilent = errors.New("watch was not answered in time")
)
