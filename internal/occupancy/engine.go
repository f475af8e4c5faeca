// Package occupancy estimates the KV cache memory of one engine, as seen by one box.
//
// The box knows its own streams exactly. The streams of other boxes follow from the engine's load
// report, which lags: the report is compared with what this box ran at that earlier time, and the
// difference is attributed to the others. The forecast is the peak over the coming tokens, not the
// current fill.
//
// Boxes must not all claim the same free memory. At each new report a box may claim its share of
// it, see package subset; memory that its own streams free is available to it at once. A share
// smaller than one stream is claimed with the matching probability, so that the boxes together
// claim what is free.
package occupancy

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/invariant"
	"github.com/dalebend/dalebend/internal/prefix"
)

const (
	// maxProfileAge is the age from which the forecast of running streams is computed again; a
	// stream grows by a token or two meanwhile.
	maxProfileAge = 25 * time.Millisecond
	// maxReportAge is the age from which a load report is ignored.
	maxReportAge = 10 * time.Second
	// preemptionMarginStep is how much one preemption widens the safety margin, in standard
	// deviations; it decays over extraMarginDecay.
	preemptionMarginStep = 0.25
	maxExtraMargin       = 2.0
	extraMarginDecay     = 15 * time.Second
	// maxPrefixBlocks bounds the prefix blocks that are kept per engine.
	maxPrefixBlocks = 1024
)

// Report is an engine's load report.
type Report struct {
	// Running and Waiting count streams, KVUsed and KVTotal tokens.
	Running int
	Waiting int
	KVUsed  int
	KVTotal int
	// Preemptions counts since the engine's start.
	Preemptions int64
	// Models are those that the engine holds, with a version after an at sign; nil if it doesn't
	// report any.
	Models []string
	// Sample differs between reports; an equal value is a report that was already applied.
	Sample int64
}

// Engine is the known state of one engine. It is not safe for concurrent use, except for
// Stream.Progress.
type Engine struct {
	server   *fleet.BackendServer
	streams  map[*Stream]struct{}
	prefixes *prefix.Index
	history  history

	own       profile
	ownTokens float64
	ownAt     time.Time
	ownValid  bool

	report      Report
	reportAt    time.Time
	others      profile
	othersCount float64

	// base is the forecast at the last report. allocatedStreams bounds the number of streams of all
	// boxes, as this box sees them, until the next report.
	base             profile
	allocatedStreams float64
	rounding         float64
	draining         bool
	leaving          bool
	rng              *rand.Rand
	retention        *RetentionCurve
	lag              *LagEstimator
	residuals        residuals
	reportCount      int

	// extraMargin widens the safety margin after the engine had to preempt.
	extraMargin   float64
	extraMarginAt time.Time
	preemptions   int64
}

// FitLimits are the limits that decide whether a stream fits.
type FitLimits struct {
	// Now is the current time.
	Now time.Time
	// MarginDeviations is the safety margin in standard deviations of the forecast, and
	// MarginFactor the part of it, 0 to 1, that applies: work of the highest priority takes more
	// risk rather than wait.
	MarginDeviations float64
	MarginFactor     float64
	// MemoryLimit is the part of the memory that this work may fill, and CommonLimit the part that
	// work of any priority may; the difference is reserved for higher priorities.
	MemoryLimit float64
	CommonLimit float64
	// BoxShare is the part of the engine that this box uses; 1 is all of it.
	BoxShare float64
	// SingleBox is set if there is no other box.
	SingleBox bool
}

// NewEngine returns the state of an engine without reports. rng rounds small shares; retention and lag
// are shared by all engines of the box. All three are used under the caller's lock.
func NewEngine(server *fleet.BackendServer, rng *rand.Rand, retention *RetentionCurve, lag *LagEstimator) *Engine {
	return &Engine{
		server:    server,
		streams:   make(map[*Stream]struct{}),
		prefixes:  prefix.NewIndex(maxPrefixBlocks),
		report:    Report{KVTotal: server.KVTokens()},
		rounding:  rng.Float64(),
		ownValid:  true,
		rng:       rng,
		retention: retention,
		lag:       lag,
	}
}

// Server returns the backend server as in the current snapshot.
func (e *Engine) Server() *fleet.BackendServer { return e.server }

// SetServer replaces the backend server with that of a newer snapshot.
func (e *Engine) SetServer(s *fleet.BackendServer) {
	invariant.Check(s.Name() == e.server.Name(), "engine-identity", "%s became %s", e.server.Name(), s.Name())
	e.server = s
}

// Holds reports whether the engine holds a model, in whatever version. Until it reports its models,
// all are assumed to be held.
func (e *Engine) Holds(model string) bool {
	if e.report.Models == nil {
		return true
	}
	return slices.ContainsFunc(e.report.Models, func(held string) bool {
		base, _, _ := strings.Cut(held, "@")
		return base == model
	})
}

// Draining reports whether the engine is leaving according to the configuration, the box list or
// the engine itself.
func (e *Engine) Draining() bool { return e.draining || e.leaving || e.server.Draining() }

// SetLeaving sets the state from the box list.
func (e *Engine) SetLeaving(leaving bool) { e.leaving = leaving }

// SetDraining sets the state that the engine itself reports.
func (e *Engine) SetDraining(leaving bool) { e.draining = leaving }

// Running returns the number of this box's streams that hold memory.
func (e *Engine) Running() int {
	n := 0
	for s := range e.streams {
		if !s.paused {
			n++
		}
	}
	return n
}

// InFlight returns the number of this box's streams, including paused ones.
func (e *Engine) InFlight() int { return len(e.streams) }

// Load returns the estimated number of streams on the engine from all boxes.
func (e *Engine) Load() float64 { return float64(len(e.streams)) + e.othersCount }

// PrefixIndex returns the index of the prompt prefixes that this box sent to the engine.
func (e *Engine) PrefixIndex() *prefix.Index { return e.prefixes }

// Streams visits this box's streams until visit returns false.
func (e *Engine) Streams(visit func(*Stream) bool) {
	for s := range e.streams {
		if !visit(s) {
			return
		}
	}
}

// Add adds a stream that is dispatched to the engine.
func (e *Engine) Add(s *Stream, now time.Time) {
	e.refresh(now)
	e.streams[s] = struct{}{}
	e.own.addStream(s)
	e.ownTokens += float64(s.Tokens())
	e.history.record(now, e.ownTokens, len(e.streams))
}

// Remove removes a stream that ended.
func (e *Engine) Remove(s *Stream, now time.Time) {
	_, present := e.streams[s]
	invariant.Check(present, "stream-accounting", "stream ended twice on %s", e.server.Name())
	delete(e.streams, s)
	e.ownValid = false
	e.refresh(now)
}

// Pause releases the memory of a stream that is preempted.
func (e *Engine) Pause(s *Stream, now time.Time) {
	invariant.Check(!s.paused, "pause-once", "stream paused twice on %s", e.server.Name())
	s.paused = true
	s.pauses++
	e.ownValid = false
	e.refresh(now)
}

// Resume counts the memory of a paused stream again.
func (e *Engine) Resume(s *Stream, now time.Time) {
	invariant.Check(s.paused, "unpause-paused", "stream not paused on %s", e.server.Name())
	s.paused = false
	e.ownValid = false
	e.refresh(now)
}

// refresh computes the forecast of own streams again if it is invalid or older than maxProfileAge.
func (e *Engine) refresh(now time.Time) {
	if e.ownValid && now.Sub(e.ownAt) < maxProfileAge {
		return
	}
	e.own = profile{}
	e.ownTokens = 0
	for s := range e.streams {
		if s.paused {
			continue
		}
		s.estimateProgress(now, e.tokenTime())
		e.own.addStream(s)
		e.ownTokens += float64(s.Tokens())
	}
	e.ownAt = now
	e.ownValid = true
	e.retention.learn(&e.own, e.ownTokens, float64(e.Running()))
	e.history.record(now, e.ownTokens, len(e.streams))
}

// crowdingStreams is the number of streams that doubles the time per token, about.
const crowdingStreams = 200
