package occupancy

import "time"

// fillLimit returns up to where this box may fill the engine. Of the free memory that work of any
// priority may use, each box gets its share; what is reserved for higher priorities is little used,
// and any box may take all of it.
func (e *Engine) fillLimit(t FitLimits) float64 {
	base := e.base.peak(e.margin(t))
	common := float64(e.capacity()) * t.CommonLimit
	kept := float64(e.capacity())*t.MemoryLimit - max(common, base)
	return base + (common-base)*t.BoxShare + max(0, kept)
}

func (e *Engine) total() profile { return e.own.plus(&e.others) }

func (e *Engine) capacity() int {
	if e.report.KVTotal > 0 {
		return e.report.KVTotal
	}
	return e.server.KVTokens()
}

func (e *Engine) maxBatch() int { return e.server.MaxBatch() }

// FitsAtPeak reports whether a stream fits, and the share of the memory that is filled at the
// forecast peak with it.
func (e *Engine) FitsAtPeak(s *Stream, t FitLimits) (filled float64, ok bool) {
	e.refresh(t.Now)
	if e.reportAt.IsZero() || t.Now.Sub(e.reportAt) > maxReportAge {
		e.assumeEvenShare(t)
	}
	total := e.total()
	z := e.margin(t)
	before := total.peak(z)
	total.addStream(s)
	after := total.peak(z)
	limit := float64(e.capacity()) * t.MemoryLimit
	filled = after / float64(max(e.capacity(), 1))
	if after > limit && len(e.streams) > 0 {
		return filled, false
	}
	count := e.Load()
	if t.BoxShare >= 1 {
		return filled, count < float64(e.maxBatch())
	}
	fitsTokens := before+(after-before)*e.rounding <= e.fillLimit(t)
	fitsCount := count+e.rounding <= e.allocatedStreams
	return filled, fitsTokens && fitsCount
}

// FitsNow reports whether a paused stream fits by the current fill, without the safety margin that
// applies to new work.
func (e *Engine) FitsNow(s *Stream, now time.Time) bool {
	e.refresh(now)
	total := e.total()
	return total.mean[0]+float64(s.Tokens()) <= float64(e.capacity())
}

// margin returns the safety margin in standard deviations.
func (e *Engine) margin(t FitLimits) float64 {
	return t.MarginFactor * (t.MarginDeviations + e.currentExtraMargin(t.Now))
}

// Tokens returns the estimated memory that all streams hold now.
func (e *Engine) Tokens(now time.Time) float64 {
	e.refresh(now)
	total := e.total()
	return total.mean[0]
}
