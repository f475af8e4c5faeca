package occupancy

import (
	"math"
	"time"

	"github.com/dalebend/dalebend/internal/outputlength"
)

// tokenTime returns the approximate time per token at the current load.
func (e *Engine) tokenTime() time.Duration {
	base := e.server.DecodeStep()
	return base + base*time.Duration(e.Load())/crowdingStreams
}

// ApplyReport applies a load report. A report that was already applied changes nothing.
func (e *Engine) ApplyReport(r Report, lag time.Duration, typical *outputlength.SurvivalCurve, t FitLimits) {
	if r.Sample == e.report.Sample && !e.reportAt.IsZero() {
		return
	}
	e.refresh(t.Now)
	e.widenMargin(r, t.Now)
	e.report = r
	e.reportAt = t.Now
	ownTokens, ownCount := e.history.at(t.Now.Add(-e.updateLag(r, lag, t.Now)))
	e.othersCount = max(0, float64(r.Running+r.Waiting)-float64(ownCount))
	if t.SingleBox {
		e.othersCount = 0
	}
	e.others = e.forecastOthers(float64(r.KVUsed)-ownTokens, typical)
	e.allocate(t)
}

// updateLag feeds a new report to the lag estimator and returns its estimated age.
func (e *Engine) updateLag(r Report, fallback time.Duration, now time.Time) time.Duration {
	var next residuals
	for i := range next {
		own, _ := e.history.at(now.Add(-time.Duration(i) * lagStep))
		next[i] = float64(r.KVUsed) - own
	}
	if e.reportCount > 0 && len(e.streams) > 0 {
		e.lag.learn(&e.residuals, &next)
	}
	e.reportCount++
	e.residuals = next
	return e.lag.estimate(fallback)
}

// forecastOthers spreads the memory of other boxes over the horizons, in the shape of this box's
// streams on all engines. tokens may be negative: shared prefixes make the engine's own count
// smaller than the sum of its streams.
func (e *Engine) forecastOthers(tokens float64, typical *outputlength.SurvivalCurve) profile {
	var outlives [horizonCount]float64
	if e.retention.ready() {
		outlives = e.retention.held
	} else {
		middle := int(typical.Mean() / 2)
		for k, t := range horizons {
			outlives[k] = typical.SurvivalProbability(middle, t)
		}
	}
	var p profile
	if e.othersCount > 0 {
		p.add(e.othersCount, tokens/e.othersCount, &outlives)
		return p
	}
	for k := range horizons {
		p.mean[k] = tokens * outlives[k]
	}
	return p
}

// allocate sets what this box may fill until the next report.
func (e *Engine) allocate(t FitLimits) {
	e.base = e.total()
	count := e.Load()
	e.allocatedStreams = count + (float64(e.maxBatch())-count)*t.BoxShare
	e.rounding = e.rng.Float64()
}

// widenMargin widens the safety margin if the engine preempted since the last report: the forecast
// was wrong, whatever the reason.
func (e *Engine) widenMargin(r Report, now time.Time) {
	more := r.Preemptions - e.preemptions
	first := e.reportAt.IsZero()
	e.preemptions = r.Preemptions
	if more <= 0 || first {
		return
	}
	e.extraMargin = min(e.currentExtraMargin(now)+preemptionMarginStep*float64(more), maxExtraMargin)
	e.extraMarginAt = now
}

// currentExtraMargin returns the extra margin after its decay.
func (e *Engine) currentExtraMargin(now time.Time) float64 {
	if e.extraMargin == 0 {
		return 0
	}
	return e.extraMargin * math.Exp(-float64(now.Sub(e.extraMarginAt))/float64(extraMarginDecay))
}

// assumeEvenShare limits this box to its even share while there is no recent report.
func (e *Engine) assumeEvenShare(t FitLimits) {
	e.others = profile{}
	e.othersCount = 0
	e.base = profile{}
	e.allocatedStreams = math.Ceil(float64(e.maxBatch()) * t.BoxShare)
}

// ReportAge returns the age of the last load report; ok is false without one.
func (e *Engine) ReportAge(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(e.reportAt), !e.reportAt.IsZero()
}
