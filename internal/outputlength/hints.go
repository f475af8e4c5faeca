package outputlength

import (
	"math"
	"sync"
)

const (
	// minHintAnswers is the number of ended answers from which their mean is combined with a hint.
	// Short answers end first, so the mean of the first few is too small.
	minHintAnswers = 30
	// priorHintAnswers is the number of answers that priorVariance counts for.
	priorHintAnswers = 10
	// priorVariance is the initial variance of the logarithms of lengths and of hint errors: a
	// factor of 2.7 either way.
	priorVariance = 1.0
	// hintMemory is the number of answers after which an old one counts for 1/e.
	hintMemory = 200
)

// HintModel learns the error of callers' length hints, and combines a hint with the mean of earlier
// answers. Lengths and hint errors are taken to be log-normal and independent, so each is weighted
// by the inverse of its variance. The zero value is ready to use; it is safe for concurrent use.
type HintModel struct {
	mu sync.Mutex
	// weight is the number of answers after decay; meanLog, lengthVariance and errorVariance
	// describe the logarithms of their lengths and of their hint errors.
	weight         float64
	meanLog        float64
	lengthVariance float64
	errorVariance  float64
}

// Observe records the length of an answer that ended by itself and its hint, both in tokens and at
// least 1.
func (h *HintModel) Observe(hint, length int) {
	if hint < 1 || length < 1 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := math.Log(float64(length))
	hintError := math.Log(float64(hint)) - l
	h.weight = min(h.weight+1, hintMemory)
	part := 1 / h.weight
	before := h.meanLog
	h.meanLog += part * (l - h.meanLog)
	h.lengthVariance += part * ((l-before)*(l-h.meanLog) - h.lengthVariance)
	h.errorVariance += part * (hintError*hintError - h.errorVariance)
}

// ExpectedLength returns the expected length, in tokens, of an answer with a hint. It never exceeds
// maxTokens; 0 is no bound.
func (h *HintModel) ExpectedLength(hint, maxTokens int) int {
	expected := float64(hint)
	if weight, mean, ok := h.estimate(); ok {
		expected = math.Exp(weight*math.Log(float64(max(hint, 1))) + (1-weight)*mean)
	}
	if maxTokens > 0 {
		expected = min(expected, float64(maxTokens))
	}
	return int(expected)
}

// HintWeight returns the weight of a hint against the mean of earlier answers, from 0 to 1.
func (h *HintModel) HintWeight() float64 {
	weight, _, ok := h.estimate()
	if !ok {
		return 1
	}
	return weight
}

func (h *HintModel) estimate() (trust, mean float64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.weight < minHintAnswers {
		return 0, 0, false
	}
	spread := h.withPrior(h.lengthVariance)
	wrong := h.withPrior(h.errorVariance)
	return spread / (spread + wrong), h.meanLog, true
}

func (h *HintModel) withPrior(variance float64) float64 {
	return (h.weight*variance + priorHintAnswers*priorVariance) / (h.weight + priorHintAnswers)
}
