// Package decodetime estimates the time per output token of each model engine, from the time
// between the events of streams, and how much longer an event takes while the engine prefills a
// prompt. Package prefilltime estimates the time per prompt token.
//
// Engines of one service differ: new hardware decodes in half the time of old. Every box sees a few
// streams of each engine for a few seconds, so boxes exchange their estimates, and a box prefers
// its own to those of its peers. An unknown engine is assumed to have the median of the known ones.
//
// Invariants: whatever an engine or a peer reports, estimates stay within minPerToken and
// maxPerToken; only a box's own estimates are sent to peers, so that reports are not echoed.
package decodetime

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxWindows is the number of windows kept per engine. With four events each, of 15 to 40 ms,
	// they cover one to three seconds: longer than a single slow spell of an engine.
	maxWindows = 16
	// minWindows is the number of windows from which the box uses and reports its own estimate:
	// half a second of one stream.
	minWindows = 4
	// noPrefillQuantile is the quantile of the windows that estimates the time without prefill: one
	// window of four lies between prompts even on an engine that spends half of its time on
	// prefill.
	noPrefillQuantile = 0.25
	// minPerToken and maxPerToken bound the estimates; no hardware in use is beyond them.
	minPerToken = 500 * time.Microsecond
	maxPerToken = 200 * time.Millisecond
)

// Estimator estimates the time per output token of engines. It is safe for concurrent use; the zero
// value is ready.
type Estimator struct {
	mu      sync.Mutex
	engines map[string]*engine
	// median is that of all known engines, 0 if none is. It is computed again only if stale, that
	// is, after an estimate changed.
	median time.Duration
	stale  bool
	// slowdowns counts events during prefill by their time relative to the engine's estimate.
	slowdowns slowdowns
}

// engine is the known state of one engine.
type engine struct {
	// windows is a ring buffer of the last windows of this box; next is the oldest once it is full.
	windows []time.Duration
	next    int
	// own is the estimate from windows, reported the last one of a peer. Each is 0 if there is
	// none.
	own      time.Duration
	reported time.Duration
}

// perToken returns the estimate to use, 0 if there is none.
func (e *engine) perToken() time.Duration {
	if e.own > 0 {
		return e.own
	}
	return e.reported
}

// Observe records a window of a stream: the mean time per token.
func (b *Estimator) Observe(id string, perToken time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(id)
	perToken = min(max(perToken, minPerToken), maxPerToken)
	if len(e.windows) < maxWindows {
		e.windows = append(e.windows, perToken)
	} else {
		e.windows[e.next] = perToken
		e.next = (e.next + 1) % maxWindows
	}
	if len(e.windows) < minWindows {
		return
	}
	sorted := slices.Sorted(slices.Values(e.windows))
	e.own = sorted[int(noPrefillQuantile*float64(len(sorted)))]
	b.stale = true
}

// Receive records the encoded estimate that a peer's Encoded returned for an engine.
func (b *Estimator) Receive(id string, code int32) {
	perToken := decode(code)
	if perToken == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engine(id)
	if e.reported != perToken {
		e.reported = perToken
		b.stale = true
	}
}

// Encoded returns this box's encoded estimate for an engine, 0 if there are too few windows.
func (b *Estimator) Encoded(id string) int32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.engines[id]; e != nil {
		return encode(e.own)
	}
	return 0
}

// PerToken returns the time per output token of an engine while it prefills no prompt. It returns
// the median for an unknown engine, and 0 if no engine is known.
func (b *Estimator) PerToken(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.engines[id]; e != nil && e.perToken() > 0 {
		return e.perToken()
	}
	return b.cachedMedian()
}

// Median returns the median of the known engines, 0 if none is.
func (b *Estimator) Median() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cachedMedian()
}

// KnownEngines returns the number of engines with an estimate, own or reported.
func (b *Estimator) KnownEngines() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := 0
	for _, e := range b.engines {
		if e.perToken() > 0 {
			known++
		}
	}
	return known
}

// Retain forgets the engines for which keep returns false.
func (b *Estimator) Retain(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.engines {
		if !keep(id) {
			delete(b.engines, id)
			b.stale = true
		}
	}
}

// engine returns the state of an engine, creating it if needed. The lock must be held.
func (b *Estimator) engine(id string) *engine {
	if b.engines == nil {
		b.engines = make(map[string]*engine)
	}
	e := b.engines[id]
	if e == nil {
		e = &engine{}
		b.engines[id] = e
	}
	return e
}

// cachedMedian returns the median of the known engines. The lock must be held.
func (b *Estimator) cachedMedian() time.Duration {
	if !b.stale {
		return b.median
	}
	b.stale = false
	b.median = 0
	known := make([]time.Duration, 0, len(b.engines))
	for _, e := range b.engines {
		if t := e.perToken(); t > 0 {
			known = append(known, t)
		}
	}
	if len(known) > 0 {
		slices.Sort(known)
		b.median = known[len(known)/2]
	}
	return b.median
}
