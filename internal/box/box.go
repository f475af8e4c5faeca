// Package box is one box of dalebend on a platform of boxes without disks: it serves callers,
// watches the platform's store or follows a peer that does, and shares its load on the backend
// servers with its peers.
//
// All boxes are alike and store nothing. The state of a box comes from the store, directly or by
// way of a peer, and is replaced as a whole by a newer one.
package box

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/accountshare"
	"github.com/dalebend/dalebend/internal/arrival"
	"github.com/dalebend/dalebend/internal/atomictime"
	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/boxsettings"
	"github.com/dalebend/dalebend/internal/brittle"
	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/decodetime"
	"github.com/dalebend/dalebend/internal/departure"
	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/evidence"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/freshness"
	"github.com/dalebend/dalebend/internal/front"
	"github.com/dalebend/dalebend/internal/heldup"
	"github.com/dalebend/dalebend/internal/holdoff"
	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/outage"
	"github.com/dalebend/dalebend/internal/peerlag"
	"github.com/dalebend/dalebend/internal/peerstate"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/prefilldemand"
	"github.com/dalebend/dalebend/internal/quarantine"
	"github.com/dalebend/dalebend/internal/quarantine/gate"
	"github.com/dalebend/dalebend/internal/quarantine/keeper"
	"github.com/dalebend/dalebend/internal/reach"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/retrybudget"
	"github.com/dalebend/dalebend/internal/retrypriority"
	"github.com/dalebend/dalebend/internal/routetable"
	"github.com/dalebend/dalebend/internal/sendlog"
	"github.com/dalebend/dalebend/internal/serverlimit"
	"github.com/dalebend/dalebend/internal/serverpath"
	"github.com/dalebend/dalebend/internal/shutdownnotice"
	"github.com/dalebend/dalebend/internal/storewatch"
	"github.com/dalebend/dalebend/internal/streaming"
	"github.com/dalebend/dalebend/internal/telemetry"
	"github.com/dalebend/dalebend/internal/tunnel/endpoint"
	"github.com/dalebend/dalebend/internal/viewshare"
	"github.com/dalebend/dalebend/internal/watchelection"
)

// Platform holds what a box needs from its platform.
type Platform struct {
	// Source reads the store; Boxes reads and writes the list of boxes in it.
	Source storewatch.Source
	Boxes  Boxes
	// Decode parses a configuration document.
	Decode func(doc []byte) (*routetable.Table, error)
	// Wire and Codec parse and write requests.
	Wire  front.CallerCodec
	Codec backend.Codec
	// Mover makes engines copy KV caches.
	Mover streaming.Mover
	// Reporter queries the status of engines.
	Reporter streaming.StatusReader
	// HeldRequests stores the quarantined requests that are held.
	HeldRequests keeper.Source
}

// Boxes is the list of the fleet's boxes in the platform's store.
type Boxes interface {
	PutBox(ctx context.Context, b member.Box) error
	Boxes(ctx context.Context) ([]member.Box, error)
	// RecentBoxes is a cheaper Boxes whose result may be some seconds old.
	RecentBoxes(ctx context.Context) ([]member.Box, error)
}

// Box is one box. Set the exported fields before Run.
type Box struct {
	Clock  clockwork.Clock
	Logger *slog.Logger
	// Metrics, if set, is updated and served at the address in the settings.
	Metrics *telemetry.Metrics

	Settings *boxsettings.Settings
	Platform Platform
	// Exchange sends requests to backend servers.
	Exchange *exchange.Client
	// HeldUp, if set, finds out that the process was not run.
	HeldUp *heldup.Detector
	// Seed seeds the random choices.
	Seed uint64

	listeners listeners
	node      *member.Node
	peers     *peerstate.Table
	share     *viewshare.Share
	watcher   *storewatch.Watcher
	election  *watchelection.Election
	directory *registry.Directory
	evidence  *evidence.Tracker
	reach     *reach.Tracker
	// paths chooses how servers are reached, tunnels connects to servers for other boxes.
	paths          *serverpath.Selector
	tunnels        *endpoint.Server
	shutdownNotice *shutdownnotice.Estimator
	engineLoad     *engineload.Tracker
	// startRate is the rate at which other boxes start generations.
	startRate *arrival.Rate
	// decodeTime estimates the engines' time per output token, prefillDemand the prompt tokens that
	// they are sent.
	decodeTime    *decodetime.Estimator
	prefillDemand *prefilldemand.Rates
	picker        *picker.Picker
	retryBudget   *retrybudget.Budget
	// retryPriority tracks the callers that were refused by any box and have priority when they
	// retry.
	retryPriority *retrypriority.Tracker
	// accountShares tracks the engine usage of client accounts over all boxes.
	accountShares *accountshare.Tracker
	// quarantine tracks requests during which servers ended, heldRequests syncs the held ones with
	// the store, and gate consults quarantine before each send.
	quarantine   *quarantine.Tracker
	heldRequests *keeper.Keeper
	gate         *gate.Gate
	// serverLimits tracks the servers that state a request rate limit.
	serverLimits *serverlimit.Tracker
	// departures tracks the servers that state they are leaving, holdOffs those that asked this box
	// to hold off, and conditions combines these with the limits.
	departures *departure.Tracker
	holdOffs   *holdoff.Tracker
	// brittle tracks the servers that fall over when they turn away too many requests.
	brittle    *brittle.Tracker
	conditions *condition.Tracker
	streams    *streaming.Relay
	front      *front.Server

	reloadMu sync.Mutex
	// running is set once settings are applied, reloaded are those that changed before.
	running  bool
	reloaded *boxsettings.Settings

	started  time.Time
	stopping atomic.Bool
	// outages tracks the contacts of all boxes with the store.
	outages outage.Tracker
	// fresh tells until when this box knows all changes of the store.
	fresh freshness.Tracker
	// lag logs the peers that hold an older view.
	lag *peerlag.Tracker
	// sends records the sends to servers that leave.
	sends *sendlog.Tracker
	// contact is closed when the box first learns that some box reached the store.
	contact     chan struct{}
	contactOnce sync.Once
	stopGrace   atomic.Int64
	maxBoxes    atomic.Int64
	readyLogged atomic.Bool
	// cutAtStop counts the requests that were still running when the stop time was over.
	cutAtStop atomic.Int64
	// watching is the last decision on watching the store.
	watching atomic.Bool
	// watcherWokenAt is when a heartbeat last made the watcher decide whether to watch.
	watcherWokenAt atomictime.Time
	viewLog        viewLog
	// serversForgottenAt is the time of the last cleanup after removed servers. Views arrive one at
	// a time.
	serversForgottenAt time.Time
}

// self returns this box as its peers know it.
func (b *Box) self() member.Box {
	s := b.Settings
	return member.Box{Name: s.Box, Addr: s.Heartbeat, CallAddr: s.Calls, Domain: s.Domain}
}

// live returns the live boxes, including this one.
func (b *Box) live() []member.Box { return b.node.Live() }

// maxBoxCount returns the number of boxes that share the retry budget: the maximum seen live, since
// a box that can't be heard may still be running.
func (b *Box) maxBoxCount() int {
	return b.raiseMaxBoxes(len(b.live()))
}

// raiseMaxBoxes raises the maximum to count if that is higher, and returns it.
func (b *Box) raiseMaxBoxes(count int) int {
	n := int64(count)
	for {
		most := b.maxBoxes.Load()
		if n <= most {
			return int(most)
		}
		if b.maxBoxes.CompareAndSwap(most, n) {
			return int(n)
		}
	}
}
