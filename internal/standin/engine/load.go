package engine

import (
	"context"
	"time"

	"github.com/dalebend/dalebend/internal/periodic"
)

// LoadReport is what the engine tells of itself, as of its last sample.
type LoadReport struct {
	// Running and Waiting count generations.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsed and KVTotal count tokens of memory; cached prefixes are not used.
	KVUsed  int `json:"kv_used"`
	KVTotal int `json:"kv_total"`
	// Preemptions counts since the start.
	Preemptions int64 `json:"preemptions"`
	// Sample numbers the samples, so that a reader can tell a new one.
	Sample int64 `json:"sample"`
	// Models are those held at the time of the sample.
	Models []string `json:"models"`
	// Draining says that the engine is leaving.
	Draining bool `json:"draining,omitempty"`
}

// sampleLoad takes a sample each LoadLag; readers see the last but one, so a
// report is between one and two lags old.
func (e *Engine) sampleLoad(ctx context.Context) {
	pending := *e.report.Load()
	periodic.Run(ctx, e.Clock, max(e.LoadLag/2, time.Millisecond), func() {
		told := pending
		e.report.Store(&told)
		pending = e.sample(pending.Sample + 1)
	})
}

func (e *Engine) sample(n int64) LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return LoadReport{
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		KVUsed:      e.kv.InUse() * blockTokens,
		KVTotal:     e.kv.Total() * blockTokens,
		Preemptions: e.stats.preemptions.Load(),
		Sample:      n,
		Models:      e.orders.state().Models,
		Draining:    e.stats.draining.Load(),
	}
}
