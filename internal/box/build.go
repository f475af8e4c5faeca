package box

import (
	"math/rand/v2"
	"time"

	"github.com/dalebend/dalebend/internal/boxsettings"
	"github.com/dalebend/dalebend/internal/choose"
	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/evidence"
	"github.com/dalebend/dalebend/internal/forecast"
	"github.com/dalebend/dalebend/internal/front"
	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/notice"
	"github.com/dalebend/dalebend/internal/peerstate"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/single"
	"github.com/dalebend/dalebend/internal/spend"
	"github.com/dalebend/dalebend/internal/storewatch"
	"github.com/dalebend/dalebend/internal/streaming"
	"github.com/dalebend/dalebend/internal/viewshare"
	"github.com/dalebend/dalebend/internal/watchduty"
)

// build makes the parts of the box. The listeners must be open.
func (b *Box) build() {
	b.started = b.Clock.Now()
	b.contact = make(chan struct{})
	b.stopGrace.Store(int64(b.Settings.StopGrace))
	b.buildBeliefs()
	b.buildPeers()
	b.buildStore()
	b.buildRequests()
	b.buildMetrics()
}

// buildBeliefs makes what the box believes of backend servers.
func (b *Box) buildBeliefs() {
	b.ledger = engineload.New()
	b.evidence = &evidence.Book{Clock: b.Clock, Changed: b.serverChanged}
	b.notice = &notice.Book{Clock: b.Clock}
	b.directory = &registry.Directory{Clock: b.Clock, StoreReturned: b.storeReturned, Left: b.serversLeft}
	b.chooser = &choose.Chooser{
		Directory: b.directory, Evidence: b.evidence, Ledger: b.ledger,
		Domain: b.Settings.Domain, Rand: b.random(drawsOfChooser),
	}
}

func (b *Box) buildPeers() {
	b.peers = &peerstate.Table{Clock: b.Clock}
	b.share = &viewshare.Share{
		Decode: b.Platform.Decode, Clock: b.Clock, Logger: b.Logger,
		OnTable: b.tableInForce, OnView: b.viewInForce,
	}
	b.node = &member.Node{
		Self: b.self(), Seeds: b.Settings.Seeds, Conn: b.listeners.heartbeat,
		Clock: b.Clock, Logger: b.Logger, Rand: b.random(drawsOfNode),
		Local: b.tell, Heard: b.heard, Changed: b.peersChanged,
	}
}

func (b *Box) buildStore() {
	b.watcher = &storewatch.Watcher{
		Source: b.Platform.Source, Clock: b.Clock, Logger: b.Logger,
		Beliefs: b.beliefs, Active: b.follows, OnConfig: b.configRead, OnServers: b.serversRead,
		Seekers: func() int { return b.duty.Seekers() }, Draw: b.random(drawsOfWatcher).Float64,
		StartSpread: startSpread(b.Settings),
		Rest:        func() time.Duration { return b.duty.Rest() }, Known: b.share.View,
	}
	b.duty = &watchduty.Duty{
		Clock: b.Clock, Self: b.self(), Live: b.live, Store: b.watcher.Status, Peers: b.peers,
	}
}

// maxStartSpread is the longest time that a box leaves to its peers at the start. They
// answer within 20 ms of it; of 62 boxes that start together the first tries the store
// after 4 ms and has told the others some 20 ms later.
const maxStartSpread = 250 * time.Millisecond

// startSpread is how long to wait for peers before the first try of the store: not at
// all where none are named.
func startSpread(s *boxsettings.Settings) time.Duration {
	if len(s.Seeds) == 0 {
		return 0
	}
	return maxStartSpread
}

// buildRequests makes the path of a request.
func (b *Box) buildRequests() {
	s := b.Settings
	b.budget = &spend.Budget{
		Clock: b.Clock, Boxes: b.boxes,
		Terms: budgetTerms(s),
	}
	b.streams = &streaming.Relay{
		Box:   s.Box,
		Clock: b.Clock, Logger: b.Logger, Chooser: b.chooser, Directory: b.directory,
		Evidence: b.evidence, Ledger: b.ledger, Lengths: &forecast.Book{}, Notice: b.notice,
		Exchanger: b.Exchange, Codec: b.Platform.Codec, Mover: b.Platform.Mover, Reporter: b.Platform.Reporter,
		Budget: b.budget, LoadChanged: b.node.Kick, Beliefs: b.beliefs, Metrics: b.Metrics,
	}
	b.front = &front.Server{
		Clock: b.Clock, Logger: b.Logger, Wire: b.Platform.Wire,
		Singles: &single.Sender{
			Clock: b.Clock, Logger: b.Logger, Chooser: b.chooser, Evidence: b.evidence,
			Exchanger: b.Exchange, Codec: b.Platform.Codec, Budget: b.budget,
			Beliefs: b.beliefs, Metrics: b.Metrics,
		},
		Streams: b.streams, Table: b.share.Table, Recent: b.duty.Recent,
		Beliefs: b.beliefs, Metrics: b.Metrics,
	}
}

// Parts of the box that draw by chance, each from a source of its own. Their order is part
// of what a seed gives.
const (
	drawsOfChooser = iota
	drawsOfNode
	drawsOfWatcher
)

// random returns a source of random numbers for one part of the box.
func (b *Box) random(part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(b.Seed, part))
}
