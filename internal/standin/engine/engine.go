// Package engine is a small stand-in for a model engine.
//
// It batches continuously, keeps KV memory in blocks that fill while streams
// decode, preempts by priority, caches prompt prefixes, resumes and cancels
// generations, reports load with a lag and cache events late and with gaps, and
// takes fenced orders. docs/BACKENDS.md gives its interface. It computes no
// model: text and length come from sampletext, time from its settings.
package engine

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/httpserve"
	"github.com/dalebend/dalebend/internal/standin/fault"
	"github.com/dalebend/dalebend/internal/standin/kvcache"
)

const (
	blockTokens = 16
	// prefillPerStep bounds the prompt tokens computed in one step.
	prefillPerStep = 512
	// prefillTokenCost is the added time of a step for each prompt token.
	prefillTokenCost = 25 * time.Microsecond
	// batchCost is the added time of a step for each stream, as a share of the
	// step: a full batch of 64 takes about a third longer than one stream.
	batchCost = 200
	// detachedGrace is how long a generation without a reader is kept.
	detachedGrace = 15 * time.Second
	keepAlive     = time.Second
)

// Engine is one stand-in. Set the exported fields before Run.
type Engine struct {
	// Name is told to callers in the load report.
	Name string
	// KVTokens is the memory for streams, in tokens.
	KVTokens int
	// MaxBatch is the greatest number of streams decoded together.
	MaxBatch int
	// DecodeStep is the time of one token for a small batch.
	DecodeStep time.Duration
	// LoadLag is the time between samples of the load report.
	LoadLag time.Duration
	// ChecksFence refuses orders with a fence below the highest seen.
	ChecksFence bool
	// Models are held at the start.
	Models []string
	// Weights loads a model's weights for an order; nil loads at once.
	Weights func(ctx context.Context, model string) error
	// Clock gives the time.
	Clock clockwork.Clock
	// Faults tells the engine to misbehave.
	Faults fault.Switch

	mu        sync.Mutex
	kv        *kvcache.Cache
	sequences map[string]*sequence
	waiting   []*sequence
	running   []*sequence
	arrivals  uint64
	report    atomic.Pointer[LoadReport]
	events    eventLog
	orders    orderState
	wake      chan struct{}
	stopped   <-chan struct{}
	stats     counters
}

// counters are totals since the start.
type counters struct {
	preemptions atomic.Int64
	tokens      atomic.Int64
	started     atomic.Int64
	finished    atomic.Int64
	cancelled   atomic.Int64
	draining    atomic.Bool
}

// Run serves on the listener until ctx ends.
func (e *Engine) Run(ctx context.Context, ln net.Listener) error {
	e.prepare()
	e.stopped = ctx.Done()
	go e.steps(ctx)
	go e.sampleLoad(ctx)
	return httpserve.Serve(ctx, ln, &fasthttp.Server{Handler: e.handle})
}

func (e *Engine) prepare() {
	e.events.clock = e.Clock
	e.kv = kvcache.New(e.KVTokens/blockTokens, e.events.stored, e.events.removed)
	e.sequences = make(map[string]*sequence)
	e.wake = make(chan struct{}, 1)
	e.orders.begin(e.Models)
	e.report.Store(&LoadReport{KVTotal: e.kv.Total() * blockTokens, Models: e.orders.state().Models})
}

// Preemptions returns how many running streams were pushed out by full memory.
func (e *Engine) Preemptions() int64 { return e.stats.preemptions.Load() }

// InUse returns the part of the memory that running streams hold now.
func (e *Engine) InUse() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return float64(e.kv.InUse()) / float64(e.kv.Total())
}

// Tokens returns how many tokens were generated.
func (e *Engine) Tokens() int64 { return e.stats.tokens.Load() }

// Started returns how many generations were accepted.
func (e *Engine) Started() int64 { return e.stats.started.Load() }

// Finished returns how many generations came to their own end.
func (e *Engine) Finished() int64 { return e.stats.finished.Load() }

// Cancelled returns how many generations were cancelled.
func (e *Engine) Cancelled() int64 { return e.stats.cancelled.Load() }

// Holding returns the models that the engine holds.
func (e *Engine) Holding() []string { return e.orders.state().Models }

// Drain makes the engine say that it is leaving.
func (e *Engine) Drain() { e.stats.draining.Store(true) }
