// Package latencymodel predicts the latency of a generation on an engine: how long its prefill
// takes, and how likely it and the generations that run there are to have a pause that their
// callers don't accept.
//
// While an engine prefills a prompt, every decode step takes longer, and engines are slow for
// fractions of a second now and then. On a slow engine both together cause a pause that no caller
// accepts, in all its streams at once; on one of twice the speed they do not. So the slowdown that
// a prompt causes depends on the engine's speed and on the number of running generations, and the
// slowdown that a generation meets depends on the engine's prefill rate.
//
// The package has no state, clock or network access.
package latencymodel

import (
	"math"
	"time"

	"github.com/dalebend/dalebend/internal/engineload"
)

// Generation describes a generation to place.
type Generation struct {
	// PromptTokens and ExpectedTokens are the numbers of prompt tokens and of tokens to generate.
	PromptTokens   int
	ExpectedTokens int
	// MaxPause is the longest pause between events that the caller accepts; 0 is no bound.
	MaxPause time.Duration
}

// Engine is the known state of an engine.
type Engine struct {
	Load engineload.Load
	// PerToken is the time per output token while nothing is prefilled, 0 if unknown, and
	// TokensPerEvent the number of tokens in an event.
	PerToken       time.Duration
	TokensPerEvent int
	// PerPromptToken is the time per prompt token.
	PerPromptToken time.Duration
	// PrefillRatio is the share of time spent on prefill, from 0 to 1.
	PrefillRatio float64
	// Slowdowns is the distribution of slowdowns during prefill. It may be nil if PerToken is 0.
	Slowdowns Slowdowns
}

// Slowdowns is the distribution of the slowdown of events while their engine prefills a prompt.
type Slowdowns interface {
	// SlowdownTail returns the share of events, from 0 to 1, that take more than times the usual
	// time.
	SlowdownTail(times float64) float64
}

// prefillStepFactor is how many times as long a step takes during prefill: engines prefill a chunk
// that takes about as long as the step itself.
const prefillStepFactor = 2.0

// PrefillTime returns the time to prefill the pending prompts and the generation's own.
func (e *Engine) PrefillTime(g *Generation) time.Duration {
	return time.Duration(e.Load.PendingPrefill+g.PromptTokens) * e.PerPromptToken
}

// PauseProbability returns the probability that the generation has too long a pause, caused by
// other prompts during its run.
func (e *Engine) PauseProbability(g *Generation) float64 {
	runs := time.Duration(g.ExpectedTokens) * e.PerToken
	return e.longPauseProbability(time.Duration(e.PrefillRatio*float64(runs)), g.MaxPause)
}

// ExpectedOtherPauses returns the expected number of running generations that have too long a pause
// during the prefill of the generation's prompt.
func (e *Engine) ExpectedOtherPauses(g *Generation) float64 {
	return float64(e.decoding(g)) * e.OtherPauseProbability(g)
}

// OtherPauseProbability returns the probability that one running generation has too long a pause
// during the prefill of the generation's prompt.
func (e *Engine) OtherPauseProbability(g *Generation) float64 {
	return e.longPauseProbability(time.Duration(g.PromptTokens)*e.PerPromptToken, g.MaxPause)
}

// decoding returns the number of generations past their prefill.
func (e *Engine) decoding(g *Generation) int {
	pendingPrompts := math.Ceil(float64(e.Load.PendingPrefill) / float64(max(1, g.PromptTokens)))
	return max(0, e.Load.Streams-int(pendingPrompts))
}

// longPauseProbability returns the probability of a pause over the bound within so much prefill
// time.
func (e *Engine) longPauseProbability(reading, bound time.Duration) float64 {
	event := time.Duration(e.TokensPerEvent) * e.PerToken
	if bound <= 0 || event <= 0 || reading <= 0 {
		return 0
	}
	events := float64(reading) / (prefillStepFactor * float64(event))
	return 1 - math.Pow(1-e.Slowdowns.SlowdownTail(float64(bound)/float64(event)), events)
}
