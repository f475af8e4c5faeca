// Package outputlength estimates the length of answers, and how many more tokens a running answer
// will have.
//
// The length of an answer is unknown when it starts. The survival curve of earlier answers gives
// the share that outlived a given length; for an answer that is n tokens long, the share of those
// longer than n that exceed n+t is the probability that it does. Lengths are kept in geometric
// buckets with exponential decay, so that the estimate follows a change of the workload.
package outputlength

import "math"

const (
	bucketsPerOctave = 8
	octaves          = 17
	bucketCount      = bucketsPerOctave * octaves
	// priorWeight is the number of answers that the prior counts for. It is small, and the prior's
	// tail falls with the square of the length: with a heavier one, two short streams looked as if
	// they might fill a whole engine.
	priorWeight = 2.0
	// priorScale is the length that a quarter of the prior's answers exceed.
	priorScale = 128.0
)

// SurvivalCurve is an immutable survival curve. The zero value is not usable; get one from
// Distribution.Curve or Prior.
type SurvivalCurve struct {
	// survival[i] is the share of answers longer than the lower edge of bucket i.
	survival [bucketCount + 1]float64
	mean     float64
}

// lowerEdge returns the length, in tokens, where bucket i begins.
func lowerEdge(i int) float64 { return math.Exp2(float64(i) / bucketsPerOctave) }

// position returns the bucket of a length as a real number, for interpolation.
func position(n float64) float64 {
	if n <= 1 {
		return 0
	}
	return min(math.Log2(n)*bucketsPerOctave, bucketCount)
}

// priorSurvival is a heavy-tailed survival function used before any answers are observed.
func priorSurvival(n float64) float64 {
	f := priorScale / (priorScale + n)
	return f * f
}

// Prior returns the curve of an empty distribution.
func Prior() *SurvivalCurve { return buildCurve(&[bucketCount]float64{}, 0) }

// buildCurve returns the curve for the weights of ended answers by bucket.
func buildCurve(weights *[bucketCount]float64, total float64) *SurvivalCurve {
	c := &SurvivalCurve{}
	tail := 0.0
	for i := bucketCount; i >= 0; i-- {
		if i < bucketCount {
			tail += weights[i]
		}
		edge := lowerEdge(i)
		c.survival[i] = (tail + priorWeight*priorSurvival(edge)) / (total + priorWeight)
	}
	for i := range bucketCount {
		c.mean += c.survival[i] * (lowerEdge(i+1) - lowerEdge(i))
	}
	return c
}

// at returns the share of answers longer than n, interpolated linearly between bucket edges.
func (c *SurvivalCurve) at(n float64) float64 {
	p := position(n)
	i := int(p)
	if i >= bucketCount {
		return c.survival[bucketCount]
	}
	f := p - float64(i)
	return c.survival[i]*(1-f) + c.survival[i+1]*f
}

// Mean returns the mean length, in tokens.
func (c *SurvivalCurve) Mean() float64 { return c.mean }

// SurvivalProbability returns the probability that an answer of n tokens becomes longer than n+t.
func (c *SurvivalCurve) SurvivalProbability(n, t int) float64 {
	base := c.at(float64(n))
	if base <= 0 {
		return 0
	}
	return min(1, c.at(float64(n+t))/base)
}

// RemainingQuantile returns the q-quantile of the tokens that an answer of n tokens still gets.
func (c *SurvivalCurve) RemainingQuantile(n int, q float64) int {
	target := (1 - q) * c.at(float64(n))
	lo, hi := int(position(float64(n))), bucketCount
	for lo < hi {
		mid := (lo + hi) / 2
		if c.survival[mid] <= target {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return max(0, int(math.Ceil(c.crossing(lo, target)))-n)
}

// crossing returns the length at which the curve falls to target, interpolated linearly between the
// edges of bucket hi-1.
func (c *SurvivalCurve) crossing(hi int, target float64) float64 {
	if hi == 0 {
		return lowerEdge(0)
	}
	above, below := c.survival[hi-1], c.survival[hi]
	if above <= below {
		return lowerEdge(hi)
	}
	f := min(1, max(0, (above-target)/(above-below)))
	return math.Exp2((float64(hi-1) + f) / bucketsPerOctave)
}
