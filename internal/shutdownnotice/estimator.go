// Package shutdownnotice estimates how much notice engines give before they shut down: the time
// from when a box learns that an engine is leaving to when its streams break.
//
// An engine that ends without notice counts as zero, so that a fleet whose engines crash, or whose
// list of servers is unreachable, gets a low estimate. An engine that leaves and still completes
// all its streams gives no sample.
package shutdownnotice

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// prior is the estimate before the first sample: the 1.5 to 2.1 s that reclaimed engines of the
	// users' fleets give, less the time until a box learns of it.
	prior = 1500 * time.Millisecond
	// weight is the weight of one sample in the moving average: about the last ten count.
	weight = 0.1
	// maxNotice bounds one sample, so that a single engine that keeps serving for long does not
	// raise the estimate for all others to the same.
	maxNotice = 5 * time.Second
	// retention is how long the state of an engine is kept: longer than generations run.
	retention = time.Minute
)

// Estimator is safe for concurrent use. Set Clock before use.
type Estimator struct {
	Clock clockwork.Clock

	mu sync.Mutex
	// leftAt is when each engine was first reported to be leaving, and streamBrokeAt when a stream
	// broke before that. Engines that already gave a sample are in counted.
	leftAt        map[string]time.Time
	streamBrokeAt map[string]time.Time
	counted       map[string]bool
	// lastEvent is when the last event about an engine was recorded.
	lastEvent map[string]time.Time
	average   time.Duration
	seen      int
}

// RecordLeaving records that an engine has begun to leave or has disappeared from the list of
// servers.
func (b *Estimator) RecordLeaving(engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.touch(engine)
	if broke, ok := b.streamBrokeAt[engine]; ok && now.Sub(broke) <= maxNotice {
		b.count(engine, 0)
		return
	}
	if _, known := b.leftAt[engine]; !known {
		b.leftAt[engine] = now
	}
}

// RecordStreamBreak records that a stream was broken off by its engine.
func (b *Estimator) RecordStreamBreak(engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.touch(engine)
	if left, known := b.leftAt[engine]; known {
		b.count(engine, min(maxNotice, now.Sub(left)))
		return
	}
	// The engine may continue to serve: perhaps only this answer failed.
	b.streamBrokeAt[engine] = now
}

// Expected returns the expected notice of an engine.
func (b *Estimator) Expected() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen == 0 {
		return prior
	}
	return b.average
}

// Remaining returns how much longer an engine is expected to run; it is below 0 for a leaving
// engine that has exceeded the expectation.
func (b *Estimator) Remaining(engine string) time.Duration {
	expected := b.Expected()
	b.mu.Lock()
	defer b.mu.Unlock()
	if left, known := b.leftAt[engine]; known {
		return expected - b.Clock.Since(left)
	}
	return expected
}

// Samples returns the number of engines whose shutdown was observed.
func (b *Estimator) Samples() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

// evict drops engines without a recent event: their end was observed, or nothing runs there.
// Absence from the list of servers is no criterion, as such an engine may serve on for seconds.
func (b *Estimator) evict(now time.Time) {
	for engine, at := range b.lastEvent {
		if now.Sub(at) > retention {
			delete(b.leftAt, engine)
			delete(b.streamBrokeAt, engine)
			delete(b.counted, engine)
			delete(b.lastEvent, engine)
		}
	}
}

func (b *Estimator) prepare() {
	if b.counted != nil {
		return
	}
	b.leftAt = make(map[string]time.Time)
	b.streamBrokeAt = make(map[string]time.Time)
	b.counted = make(map[string]bool)
	b.lastEvent = make(map[string]time.Time)
	b.average = prior
}

// touch records the time of an event about an engine, and evicts old ones.
func (b *Estimator) touch(engine string) time.Time {
	b.prepare()
	now := b.Clock.Now()
	b.lastEvent[engine] = now
	b.evict(now)
	return now
}

// count adds a sample to the average, once per engine.
func (b *Estimator) count(engine string, given time.Duration) {
	if b.counted[engine] {
		return
	}
	b.counted[engine] = true
	b.seen++
	b.average += time.Duration(weight * float64(given-b.average))
}
