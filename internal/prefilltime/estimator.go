// Package prefilltime estimates the time that engines take per prompt token. Package decodetime
// estimates the time per output token.
//
// Engines prefill a prompt in chunks between the decode steps of other generations, so the time per
// token exceeds what their prefill rate alone gives: at 14 tokens a ms and steps of 7 ms and more,
// a chunk of 112 tokens takes some 16 ms, or 0.14 ms a token at the median of 2,400 generations,
// and 0.09 to 0.38 for eight in ten of them.
package prefilltime

import (
	"math"
	"sync"
	"time"
)

const (
	// defaultPerToken is the estimate before the first observation, that of the users' engines.
	defaultPerToken = time.Millisecond / 7
	// stepFactor is the factor by which one observation moves the estimate, which so tracks the
	// median: a prompt that waited for memory counts no more than others. Twenty observations
	// change it by a factor of 2.7 at most.
	stepFactor = 1.05
	// minPerToken and maxPerToken bound the estimate, whatever engines or callers do.
	minPerToken = time.Millisecond / 100
	maxPerToken = 2 * time.Millisecond
	// minPromptTokens is the shortest prompt that is observed: below it, network time and the
	// current decode step outweigh the prefill.
	minPromptTokens = 500
)

// Estimator estimates the time per prompt token over all engines of a box. It is safe for
// concurrent use; the zero value is ready.
type Estimator struct {
	mu sync.Mutex
	// perToken is 0 before the first observation.
	perToken time.Duration
}

// PerToken returns the estimated time per prompt token.
func (p *Estimator) PerToken() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimate()
}

func (p *Estimator) estimate() time.Duration {
	if p.perToken == 0 {
		return defaultPerToken
	}
	return p.perToken
}

// Observe records the time to first event of a prompt with no pending prompts before it.
func (p *Estimator) Observe(tokens int, took time.Duration) {
	if tokens < minPromptTokens {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := float64(p.estimate())
	if took > time.Duration(tokens)*p.estimate() {
		next *= stepFactor
	} else {
		next /= stepFactor
	}
	p.perToken = time.Duration(math.Round(min(max(next, float64(minPerToken)), float64(maxPerToken))))
}
