package occupancy

import "time"

const (
	lagStep  = 100 * time.Millisecond
	lagCount = 24
	// lagGain is the weight of one report in the moving average.
	lagGain = 0.03
	// minLagReports is the number of reports from which the estimate is used.
	minLagReports = 20
)

// LagEstimator estimates the age of load reports without comparing clocks. The streams of this box
// change the engine's own count, and the lag is the one at which the difference between both
// changes least from report to report. All engines of a box share one estimator.
type LagEstimator struct {
	meanSquares [lagCount]float64
	reports     int
}

// residuals are an engine's reported memory less this box's own, for each lag.
type residuals [lagCount]float64

// learn records how the residuals changed since the engine's last report.
func (l *LagEstimator) learn(before, now *residuals) {
	l.reports++
	for i := range l.meanSquares {
		d := now[i] - before[i]
		l.meanSquares[i] += lagGain * (d*d - l.meanSquares[i])
	}
}

// estimate returns the lag with the smallest changes, or fallback while there are too few reports.
func (l *LagEstimator) estimate(fallback time.Duration) time.Duration {
	if l.reports < minLagReports {
		return fallback
	}
	best := 0
	for i, m := range l.meanSquares {
		if m < l.meanSquares[best] {
			best = i
		}
	}
	return time.Duration(best) * lagStep
}
