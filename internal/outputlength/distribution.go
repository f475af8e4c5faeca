package outputlength

import (
	"sync"
	"sync/atomic"
)

// DefaultMemory is the number of answers after which an old one counts for 1/e.
const DefaultMemory = 200

// rescaleAt keeps the growing weights within the range of a float64.
const rescaleAt = 1e12

// Distribution estimates one length distribution. Reading the curve takes no lock.
type Distribution struct {
	mu        sync.Mutex
	weights   [bucketCount]float64
	total     float64
	newWeight float64
	growth    float64
	curve     atomic.Pointer[SurvivalCurve]
}

// NewDistribution returns a Distribution in which an answer counts for 1/e after memory others.
func NewDistribution(memory int) *Distribution {
	l := &Distribution{newWeight: 1, growth: 1 + 1/float64(max(memory, 1))}
	l.curve.Store(Prior())
	return l
}

// Observe records the length, in tokens, of an answer that ended by itself.
func (l *Distribution) Observe(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Growing the weight of new answers discounts the old ones.
	l.newWeight *= l.growth
	i := min(int(position(float64(n))), bucketCount-1)
	l.weights[i] += l.newWeight
	l.total += l.newWeight
	if l.newWeight > rescaleAt {
		l.rescale()
	}
	scaled := l.weights
	for i := range scaled {
		scaled[i] /= l.newWeight
	}
	l.curve.Store(buildCurve(&scaled, l.total/l.newWeight))
}

func (l *Distribution) rescale() {
	for i := range l.weights {
		l.weights[i] /= l.newWeight
	}
	l.total /= l.newWeight
	l.newWeight = 1
}

// Weight returns the number of answers after decay.
func (l *Distribution) Weight() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total / l.newWeight
}

// Curve returns the current curve.
func (l *Distribution) Curve() *SurvivalCurve { return l.curve.Load() }
