package plaincall

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	hedgeQuantile = 95
	minHedge      = 5 * time.Millisecond
	maxHedge      = 500 * time.Millisecond
	// windowCalls is the number of calls after which the histogram starts anew.
	windowCalls = 500
	// minCalls is the number of calls needed for the first estimate.
	minCalls = 20
)

// latency estimates when a call counts as slow.
type latency struct {
	mu      sync.Mutex
	current *hdrhistogram.Histogram
	after   time.Duration
}

// hedgeAfter returns the delay before a second attempt.
func (l *latency) hedgeAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.after == 0 {
		return maxHedge
	}
	return l.after
}

func (l *latency) record(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		l.current = hdrhistogram.New(1, time.Minute.Microseconds(), 2)
	}
	// A call beyond the histogram's range only proves that it was slow.
	_ = l.current.RecordValue(min(took, time.Minute).Microseconds())
	n := l.current.TotalCount()
	if n == minCalls || n >= windowCalls {
		slow := time.Duration(l.current.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
		l.after = min(max(2*slow, minHedge), maxHedge)
	}
	if n >= windowCalls {
		l.current.Reset()
	}
}
