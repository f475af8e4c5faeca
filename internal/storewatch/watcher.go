package storewatch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/staleness"
)

const (
	// WatchWait is how long a watch waits for a change, unless ServersWait returns less. A waiting
	// watch does not reveal that the store has gone silent, and a box must notice that well within
	// the 3 s for which a contact with the store counts.
	WatchWait = 2 * time.Second
	// maxRewatchDelay bounds the delay after a change, so that a watch still waits for a second and
	// changes during the delay are seen within one.
	maxRewatchDelay = time.Second
	// minCycle is the minimum time between two calls of one kind without a change, so that a store
	// that cuts every watch is not called in a tight loop.
	minCycle = 100 * time.Millisecond
)

// errInactive ends the watches of a watcher that has become inactive, errReread those of one that is to read
// the whole state again.
var (
	errInactive = errors.New("watcher is inactive")
	errReread   = errors.New("the state is to be read again")
)

// Companion is additional state that is followed while a watcher follows the store.
type Companion interface {
	// Load reads it before the other state is read: it is what a box must know before it serves. An
	// error means that the store was not reached.
	Load(ctx context.Context) error
	// Follow follows it until the context ends.
	Follow(ctx context.Context)
}

// Watcher follows the store. Set the exported fields before Run.
type Watcher struct {
	Source Source
	Clock  clockwork.Clock
	// Logger logs when the store is lost, and when it is reached again.
	Logger *slog.Logger
	// Beliefs adds the age of what the box knows to these lines. May be nil. It is called while the
	// status is locked; it may call Status.
	Beliefs staleness.Source
	// Active reports whether to follow the store. While it is false no call is made. It is called
	// at least after every watch, after Wake, and while it is false every RecheckInterval if that
	// is set.
	Active          func() bool
	RecheckInterval time.Duration
	// Seekers returns how many boxes, including this one, seek a store that none of them is in
	// contact with; 1 while another box is in contact. Nil means 1.
	Seekers func() int
	// Unconfirmed returns how many boxes, including this one, may ask the store at the same moment as
	// they have had no word of it for a while. They take turns within recheckSpread. 0 if a contact is
	// known; nil means 0.
	Unconfirmed func() int
	// StartDelay is the minimum time before the first attempt, and StartSpread the maximum random
	// time added to it. Meanwhile other boxes may report that they follow the store.
	StartDelay  time.Duration
	StartSpread time.Duration
	// Draw returns a random number from 0 to 1, 1 excluded, for delays. It is called from one
	// goroutine. Nil means always 0.
	Draw func() float64
	// RewatchDelay returns the delay before the next watch after an answer with so many changes of
	// the servers; a second at most. Nil means no delay.
	RewatchDelay func(changes int) time.Duration
	// Wait returns how long the next watch of the configuration or the servers waits for a change. Nil means
	// WatchWait.
	Wait func() time.Duration
	// KnownEvery returns how far apart the times may be until which all changes are known; 0 is no bound. Nil means 0.
	KnownEvery func() time.Duration
	// DeliveryDelay returns how long a change of the servers is held back, so that another box that
	// reads the same change publishes it first. Nil means no delay.
	DeliveryDelay func() time.Duration
	// OnContact, if set, is called after each contact with the store; see Status.LastContact.
	OnContact func()
	// Resumed, if set, returns when the process was last run again after a long pause, zero for never. An answer
	// that waited meanwhile tells nothing of the time since its call.
	Resumed func() time.Time
	// NewestView returns the newest view of the servers that the box has, from any source. Watches
	// continue from it. Nil, also as the result, means none.
	NewestView func() *registry.View
	// OnConfig is called with every new configuration document, which must not be modified, and the era of
	// the store that has it. It is also called when the store of a later era has the same document.
	OnConfig func(doc []byte, era int64)
	// OnServers is called with every new view, and each time the servers are read in full, even if
	// nothing has changed. It may be called concurrently with OnConfig.
	OnServers func(registry.View)
	// OnCordons is called with the failure domains that get no more work, each time they are read
	// in full or change. Nil means that this store has no cordons, and they are not requested.
	OnCordons func(registry.Cordons)

	// Companion, if set, is followed while this watcher follows the store.
	Companion Companion

	once    sync.Once
	wake    chan struct{}
	reread  chan struct{}
	contact contact
	config  configFeed
	servers serversFeed
	cordons cordonsFeed
	// feeds are the kinds of state of the present session.
	feeds atomic.Pointer[[]*followed]
	// answered is set when a watch has been answered since the last failure.
	answered atomic.Bool
}

func (w *Watcher) prepare() {
	w.wake = make(chan struct{}, 1)
	w.reread = make(chan struct{}, 1)
	w.contact.clock = w.Clock
	w.contact.logger = w.Logger
	w.contact.beliefs = w.Beliefs
	w.config = configFeed{source: w.Source, deliver: w.OnConfig}
	w.servers = serversFeed{source: w.Source, deliver: w.OnServers, newest: w.newestView, awaitDelivery: w.awaitDelivery}
	w.cordons = cordonsFeed{source: w.Source, deliver: w.OnCordons}
}

// Wake makes the watcher call Active now.
func (w *Watcher) Wake() {
	w.once.Do(w.prepare)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Reread makes a watcher that follows the store read the whole state again, and calls Active now.
func (w *Watcher) Reread() {
	w.Wake()
	select {
	case w.reread <- struct{}{}:
	default:
	}
}

// Status reports whether the store is reachable. It does not block.
func (w *Watcher) Status() Status { return w.contact.load() }

// Run follows the store until ctx ends, and returns the context's error.
func (w *Watcher) Run(ctx context.Context) error {
	w.once.Do(w.prepare)
	pause := newBackOff()
	// A first attempt with a spread waits only for that. Later ones wait longer the more boxes seek
	// the store; if the first one did so too, six boxes that started together would know their
	// configuration only after 0.1 to 0.55 s.
	await := w.awaitTurn
	if w.StartDelay+w.StartSpread > 0 {
		await = w.awaitFirst
	}
	next := w.StartDelay + time.Duration(w.draw()*float64(w.StartSpread))
	for ctx.Err() == nil {
		if !w.Active() {
			w.contact.markInactive()
			w.awaitRecheck(ctx)
			next, await = 0, w.awaitTurn
			continue
		}
		if !await(ctx, next) {
			continue
		}
		await = w.awaitTurn
		err := w.session(ctx)
		if ctx.Err() != nil || errors.Is(err, errInactive) {
			continue
		}
		if errors.Is(err, errReread) {
			next = 0
			continue
		}
		w.contact.markLost(err)
		if w.answered.Swap(false) {
			pause.Reset()
		}
		next = pause.NextBackOff()
	}
	return ctx.Err()
}

func (w *Watcher) newestView() *registry.View {
	if w.NewestView == nil {
		return nil
	}
	return w.NewestView()
}
