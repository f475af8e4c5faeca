package loadrun

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/dalebend/dalebend/internal/periodic"
)

// compareEvery is the time between comparisons of belief and truth.
const compareEvery = 100 * time.Millisecond

// beliefs gathers the errors of what routers believe of engines' memory, in parts of
// the memory.
type beliefs struct {
	mu     sync.Mutex
	count  float64
	sum    float64
	square float64
}

func (x *beliefs) add(err float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.count++
	x.sum += err
	x.square += err * err
}

// percent returns the bias and the root mean square of the errors.
func (x *beliefs) percent() (bias, rms float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.count == 0 {
		return 0, 0
	}
	return 100 * x.sum / x.count, 100 * math.Sqrt(x.square/x.count)
}

// compare looks at engines and beliefs while times are recorded.
func (b *bench) compare(ctx context.Context, rec *recorder, to *beliefs) {
	began := b.clock.Now()
	periodic.Run(ctx, b.clock, compareEvery, func() {
		if t := b.clock.Since(began); t >= rec.warm && t <= rec.end {
			b.compareOnce(to)
		}
	})
}

// compareOnce notes by how much each router is wrong about each engine.
func (b *bench) compareOnce(to *beliefs) {
	for _, e := range b.engines {
		for _, r := range b.routers {
			if tokens, ok := r.Scheduler().EstimatedTokens(e.Name); ok {
				to.add(tokens/float64(e.KVTokens) - e.InUse())
			}
		}
	}
}
