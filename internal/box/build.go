package box

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dalebend/dalebend/internal/accountshare"
	"github.com/dalebend/dalebend/internal/arrival"
	"github.com/dalebend/dalebend/internal/boxsettings"
	"github.com/dalebend/dalebend/internal/brittle"
	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/coldstart"
	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/condition/reader"
	"github.com/dalebend/dalebend/internal/decodetime"
	"github.com/dalebend/dalebend/internal/departure"
	"github.com/dalebend/dalebend/internal/engineload"
	"github.com/dalebend/dalebend/internal/evidence"
	"github.com/dalebend/dalebend/internal/front"
	"github.com/dalebend/dalebend/internal/headcost"
	"github.com/dalebend/dalebend/internal/holdoff"
	"github.com/dalebend/dalebend/internal/member"
	"github.com/dalebend/dalebend/internal/outputlength"
	"github.com/dalebend/dalebend/internal/peerlag"
	"github.com/dalebend/dalebend/internal/peerstate"
	"github.com/dalebend/dalebend/internal/picker"
	"github.com/dalebend/dalebend/internal/prefilldemand"
	"github.com/dalebend/dalebend/internal/prefilltime"
	"github.com/dalebend/dalebend/internal/quarantine"
	"github.com/dalebend/dalebend/internal/quarantine/gate"
	"github.com/dalebend/dalebend/internal/quarantine/keeper"
	"github.com/dalebend/dalebend/internal/reach"
	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/retrybudget"
	"github.com/dalebend/dalebend/internal/retrypriority"
	"github.com/dalebend/dalebend/internal/sendlog"
	"github.com/dalebend/dalebend/internal/serverlimit"
	"github.com/dalebend/dalebend/internal/shutdownnotice"
	"github.com/dalebend/dalebend/internal/storewatch"
	"github.com/dalebend/dalebend/internal/streaming"
	"github.com/dalebend/dalebend/internal/unary"
	"github.com/dalebend/dalebend/internal/viewshare"
	"github.com/dalebend/dalebend/internal/watchelection"
)

// longPausePercent is the part of the bound for changes of the store, in percent, from which on a pause of the
// process makes what the box knows too old: with the age that it may have without one it is within the bound.
const longPausePercent = 35

// build creates the parts of the box. The listeners must be open.
func (b *Box) build() {
	b.started = b.Clock.Now()
	b.contact = make(chan struct{})
	b.stopGrace.Store(int64(b.Settings.StopGrace))
	b.Exchange.Heads = headcost.New(b.maxHeadBytes())
	if b.HeldUp != nil {
		b.HeldUp.OnHeldUp, b.HeldUp.CaughtUp = b.onHeldUp, b.caughtUp
		b.HeldUp.LongPause = b.Settings.ChangeBound / 100 * longPausePercent
	}
	b.buildServers()
	b.buildConditions()
	b.buildEngineState()
	b.buildPeers()
	b.buildPaths()
	b.buildQuarantine()
	b.buildStore()
	b.buildRequests()
	b.buildMetrics()
}

// continuePercent is the part of the bound for requests to leaving servers, in percent, within which work
// that they hold may go on there. The rest is for a request on its way.
const continuePercent = 85

// buildServers creates the directory of backend servers.
func (b *Box) buildServers() {
	b.sends = &sendlog.Tracker{
		Clock: b.Clock, Logger: b.Logger, Metrics: b.Metrics, Bound: b.Settings.ChangeBound, Confirmed: b.fresh.Confirmed,
	}
	b.directory = &registry.Directory{
		Clock: b.Clock, StoreReturned: b.outages.Returned, OnLeft: b.onServersLeft, OnJoined: b.onServersJoined, ColdTime: b.coldTime,
		ContinueGrace: b.Settings.ChangeBound / 100 * continuePercent, Confirmed: b.fresh.Confirmed,
	}
}

// buildConditions creates the state of conditions that servers report in their answers.
func (b *Box) buildConditions() {
	b.retryBudget = &retrybudget.Budget{Clock: b.Clock, Boxes: b.maxBoxCount, Limits: budgetTerms(b.Settings)}
	b.serverLimits = &serverlimit.Tracker{
		Clock: b.Clock, Logger: b.Logger, Metrics: b.Metrics, Box: b.Settings.Box, Live: b.liveNames,
		Demand: b.retryBudget.FirstAttemptRates, Broadcast: b.broadcastNote, Draw: b.random(randForLimits).Float64,
	}
	b.departures = &departure.Tracker{
		Clock: b.Clock, Logger: b.Logger, Servers: b.directory, Box: b.Settings.Box, Live: b.liveNames,
		Broadcast: b.broadcastNote, Draw: b.random(randForDepartures).Float64, OnLeaving: b.onServerLeaving,
	}
	b.holdOffs = &holdoff.Tracker{
		Clock: b.Clock, Logger: b.Logger, Metrics: b.Metrics, Draw: b.random(randForHoldOffs).Float64,
	}
	b.brittle = &brittle.Tracker{
		Clock: b.Clock, Logger: b.Logger, Box: b.Settings.Box, Live: b.liveNames, Demand: b.retryBudget.FirstAttemptRates,
	}
	b.conditions = &condition.Tracker{
		Logger: b.Logger, Metrics: b.Metrics, Limits: b.serverLimits, Departures: b.departures, HoldOffs: b.holdOffs,
		Brittle: b.brittle,
	}
}

// buildEngineState creates the load, health and rate estimates of backend servers.
func (b *Box) buildEngineState() {
	b.engineLoad = engineload.New()
	b.startRate = &arrival.Rate{Clock: b.Clock}
	b.evidence = &evidence.Tracker{Clock: b.Clock, OnChange: b.onServerChanged}
	b.reach = &reach.Tracker{Clock: b.Clock, Logger: b.Logger}
	b.shutdownNotice = &shutdownnotice.Estimator{Clock: b.Clock}
	cold := &coldstart.Gate{
		Clock: b.Clock, Box: b.Settings.Box, Live: b.liveNames,
		Bound: coldstart.Bound{Factor: b.Settings.ColdOver, Slack: b.Settings.ColdSlack},
	}
	prompts := &prefilltime.Estimator{}
	b.decodeTime = &decodetime.Estimator{}
	b.prefillDemand = &prefilldemand.Rates{Clock: b.Clock}
	b.engineLoad.DecodeTimeCode = b.decodeTime.Encoded
	b.engineLoad.OnPrompt = b.prefillDemand.Add
	b.picker = &picker.Picker{
		Directory: b.directory, Evidence: b.evidence, EngineLoad: b.engineLoad,
		Domain: b.Settings.Domain, Rand: b.random(randForPicker), UnseenPlacements: b.unseenPlacements,
		Region: b.region, PrefillTime: prompts, DecodeTime: b.decodeTime, PrefillDemand: b.prefillDemand, ColdGate: cold, ColdRate: b.coldRate,
		Conditions: b.conditions,
	}
}

// changeGrace is how long the box waits for a newer document of a peer before it requests it: a
// change of the servers arrives by itself within 50 ms by way of relays, with less traffic between
// failure domains than if each box requested every change.
const changeGrace = 60 * time.Millisecond

func (b *Box) buildPeers() {
	b.peers = &peerstate.Table{Clock: b.Clock}
	b.lag = &peerlag.Tracker{Clock: b.Clock, Logger: b.Logger, Bound: b.Settings.ChangeBound}
	b.share = &viewshare.Share{
		Decode: b.Platform.Decode, Clock: b.Clock, Logger: b.Logger,
		OnTable: b.onTable, OnView: b.onView, OnChange: b.broadcastChange,
		MaxChangeBytes: member.MaxNoteBytes, Domain: b.Settings.Domain, Grace: changeGrace, LinkMbps: b.Settings.LinkMbps,
	}
	b.node = &member.Node{
		Self: b.self(), Seeds: b.Settings.Seeds, Conn: b.listeners.heartbeat,
		Clock: b.Clock, Logger: b.Logger, Rand: b.random(randForNode),
		FillDigest: b.fillDigest, OnDigest: b.receiveDigest, OnPresent: b.retryBudget.Refresh, OnNote: b.receiveNote, OnChange: b.onPeersChanged,
		Strength: relayStrength(b.Settings),
	}
}

// Resources of a box of strength 1 as a relay for its failure domain. A relay of 60 boxes sends
// them 14 Mbit/s while 300 boxes make 500 changes per second, and needs several times the resources
// of strength 1. Above maxStrength more are of no use.
const (
	mbpsPerStrength  = 25.0
	coresPerStrength = 0.1
	maxStrength      = 4
)

// relayStrength returns how well a box can relay updates; 0 is unknown.
func relayStrength(s *boxsettings.Settings) int32 {
	return int32(min(s.LinkMbps/mbpsPerStrength, s.Cores/coresPerStrength, maxStrength))
}

func (b *Box) buildQuarantine() {
	b.quarantine = &quarantine.Tracker{
		Clock: b.Clock, Logger: b.Logger, Metrics: b.Metrics, Box: b.Settings.Box, Broadcast: b.broadcastNote,
		Draw: b.random(randForQuarantine).Float64, Boxes: func() int { return len(b.live()) },
		OnChange: func() { b.heldRequests.Wake() },
	}
	b.heldRequests = &keeper.Keeper{Clock: b.Clock, Logger: b.Logger, Source: b.Platform.HeldRequests, Tracker: b.quarantine}
	b.gate = &gate.Gate{
		Clock: b.Clock, Exchanger: b.conditionReader(), Servers: b.directory, Codec: b.Platform.Codec, Tracker: b.quarantine,
	}
}

// conditionReader returns the exchanger that reads the conditions of servers from their answers.
func (b *Box) conditionReader() *reader.Reader {
	return &reader.Reader{
		Exchanger: b.Exchange, Clock: b.Clock, Codec: b.Platform.Codec, Servers: b.directory, Tracker: b.conditions,
		Sends: b.sends, HeldUp: b.HeldUp,
	}
}

func (b *Box) buildStore() {
	least, spread := startTimes(b.Settings)
	b.watcher = &storewatch.Watcher{
		Source: b.Platform.Source, Clock: b.Clock, Logger: b.Logger,
		Beliefs: b.knownState, Active: b.shouldWatchStore, OnConfig: b.onConfigRead, OnServers: b.onServersRead,
		Seekers: func() int { return b.election.Seekers() }, Draw: b.random(randForWatcher).Float64,
		StartDelay: least, StartSpread: spread,
		RewatchDelay:  func(changes int) time.Duration { return b.election.RewatchDelay(changes) },
		DeliveryDelay: func() time.Duration { return b.election.DeliveryDelay() },
		NewestView:    b.share.View, Companion: b.heldRequests, Resumed: b.HeldUp.Resumed,
		Wait:            func() time.Duration { return b.election.WatchWait() },
		KnownEvery:      func() time.Duration { return b.election.KnownEvery() },
		Unconfirmed:     func() int { return b.election.Unconfirmed() },
		RecheckInterval: watchelection.RecheckInterval, OnContact: b.onStoreContact,
	}
	if b.Settings.Cordons {
		b.watcher.OnCordons = b.onCordonsRead
	}
	b.election = &watchelection.Election{
		Clock: b.Clock, Self: b.self(), Live: b.live, Store: b.watcher.Status, Peers: b.peers,
		Started: b.started, Strength: relayStrength(b.Settings), Seed: isSeed(b.Settings),
		ChangeBound: b.Settings.ChangeBound, LastContact: b.outages.LastContact, Confirmed: b.informedUntil,
	}
}

const (
	// seedJitter is the time over which the seeds of a starting fleet spread their first try of the
	// store. The first of them informs the others about 20 ms later.
	seedJitter = 100 * time.Millisecond
	// startDelay is the minimum time that other boxes leave the store to their peers, and
	// startJitter the maximum added to it. A box joins a seed in its first 0.2 s or, if it found
	// none, in the next 0.2 s.
	startDelay  = 250 * time.Millisecond
	startJitter = 500 * time.Millisecond
)

// startTimes returns the minimum delay before the first try of the store and the maximum added to
// it; both are 0 if no peers are configured.
func startTimes(s *boxsettings.Settings) (least, spread time.Duration) {
	switch {
	case len(s.Seeds) == 0:
		return 0, 0
	case isSeed(s):
		return 0, seedJitter
	default:
		return startDelay, startJitter
	}
}

// isSeed reports whether this box is one of the seeds.
func isSeed(s *boxsettings.Settings) bool { return slices.Contains(s.Seeds, s.Heartbeat) }

// buildRequests creates the request path.
func (b *Box) buildRequests() {
	s := b.Settings
	b.retryPriority = &retrypriority.Tracker{Clock: b.Clock, Broadcast: b.broadcastNote}
	b.accountShares = &accountshare.Tracker{Clock: b.Clock, Broadcast: b.broadcastNote}
	b.streams = &streaming.Relay{
		Box:   s.Box,
		Clock: b.Clock, Logger: b.Logger, Picker: b.picker, Directory: b.directory,
		Evidence: b.evidence, EngineLoad: b.engineLoad, AnswerLengths: &outputlength.Estimator{}, ShutdownNotice: b.shutdownNotice,
		PrefillTime: b.picker.PrefillTime, DecodeTime: b.decodeTime,
		Exchanger: b.gate, Codec: b.Platform.Codec, Mover: b.Platform.Mover, StatusReader: b.Platform.Reporter,
		RetryBudget: b.retryBudget, RetryPriority: b.retryPriority, AccountShares: b.accountShares, LoadChanged: b.node.TriggerHeartbeat, OnCheck: b.HeldUp.Check, PathDown: b.paths.DirectHangs, Staleness: b.knownState, Metrics: b.Metrics,
	}
	b.front = &front.Server{
		Clock: b.Clock, Logger: b.Logger, Codec: b.Platform.Wire,
		Unary: &unary.Sender{
			Clock: b.Clock, Logger: b.Logger, Picker: b.picker, Evidence: b.evidence,
			Exchanger: b.gate, Codec: b.Platform.Codec, RetryBudget: b.retryBudget,
			Staleness: b.knownState, Metrics: b.Metrics,
		},
		Streams: b.streams, Quarantine: b.quarantine, Table: b.share.Table, HeldUp: b.HeldUp, ConfigRecent: b.election.RecentContact,
		Staleness: b.knownState, Metrics: b.Metrics,
		Buffers:   &bufferlimit.Accounting{Clock: b.Clock, Limits: bufferlimit.LimitsOf(s.MemoryBytes, s.KeptShare)},
		ConnLimit: b.callerConnLimit(),
	}
}

// Parts of the box with random choices, each with its own generator. Their order determines the
// draws of a seed.
const (
	randForPicker = iota
	randForNode
	randForWatcher
	randForQuarantine
	randForLimits
	randForDepartures
	randForHoldOffs
	randForPaths
)

// random returns the random generator for one part of the box.
func (b *Box) random(part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(b.Seed, part))
}
