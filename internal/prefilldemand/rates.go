// Package prefilldemand measures the rate of prompt tokens that all boxes send to each engine, from
// which the share of time that an engine spends on prefill follows.
//
// Invariant: rates decay, so an engine that gets no more prompts soon has none.
package prefilldemand

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/arrival"
)

// Rates holds the rate of prompt tokens of each engine. It is safe for concurrent use. Set Clock
// before use.
type Rates struct {
	Clock clockwork.Clock

	mu      sync.Mutex
	engines map[string]*arrival.Rate
}

// Add records a prompt that is sent to an engine now.
func (r *Rates) Add(engine string, tokens int) {
	r.mu.Lock()
	rate := r.engines[engine]
	if rate == nil {
		rate = &arrival.Rate{Clock: r.Clock}
		if r.engines == nil {
			r.engines = make(map[string]*arrival.Rate)
		}
		r.engines[engine] = rate
	}
	r.mu.Unlock()
	rate.Add(tokens)
}

// PerSecond returns the prompt tokens per second of an engine, 0 for an unknown one.
func (r *Rates) PerSecond(engine string) float64 {
	r.mu.Lock()
	rate := r.engines[engine]
	r.mu.Unlock()
	if rate == nil {
		return 0
	}
	return rate.PerSecond()
}

// Retain forgets the engines for which keep returns false.
func (r *Rates) Retain(keep func(id string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.engines {
		if !keep(id) {
			delete(r.engines, id)
		}
	}
}
