package decodetime

import (
	"math"
	"time"
)

// slowdowns is a histogram of event times, relative to the usual time. Bucket i holds those from
// bucketFactor^i to bucketFactor^(i+1), the first all shorter ones and the last all longer ones.
type slowdowns struct {
	counts [bucketCount]float64
	total  float64
}

const (
	// bucketCount buckets reach 16 times the usual time.
	bucketCount  = 16
	bucketFactor = 1.19
	// memoryEvents is the number of events after which an old one counts for 1/e: some minutes of a
	// box with a few streams.
	memoryEvents = 5000.0
	// priorEvents is the weight of the prior, in events.
	priorEvents = 50.0
)

// prior is the share of events during prefill that take longer than so many times the usual:
// prefill doubles a step, and engines are slow for some tenths of a second now and then.
var prior = []struct{ times, share float64 }{{1.5, 0.9}, {2.5, 0.1}, {4, 0.03}, {5, 0.01}, {6, 0.001}, {8, 0.0001}}

// ObserveDuringPrefill records the time per token of an event that an engine produced while it
// prefilled a prompt.
func (b *Estimator) ObserveDuringPrefill(id string, perToken time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[id]
	if e == nil || e.perToken() <= 0 {
		return
	}
	b.slowdowns.add(float64(perToken) / float64(e.perToken()))
}

// SlowdownTail returns the share of events that take longer than so many times the usual time while
// their engine prefills a prompt.
func (b *Estimator) SlowdownTail(times float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slowdowns.tail(times)
}

// add records an event that took so many times the usual time.
func (s *slowdowns) add(times float64) {
	keep := 1 - 1/memoryEvents
	for i := range s.counts {
		s.counts[i] *= keep
	}
	s.total = s.total*keep + 1
	s.counts[bucket(times)]++
}

// bucket returns the index of the bucket for events of so many times the usual time.
func bucket(times float64) int {
	if times <= 1 {
		return 0
	}
	return min(int(math.Log(times)/math.Log(bucketFactor)), bucketCount-1)
}

// tail returns the share of events, the prior included, that took longer than so many times the
// usual time. The bucket that holds the bound counts half.
func (s *slowdowns) tail(times float64) float64 {
	at := bucket(times)
	longer := s.counts[at] / 2
	for _, n := range s.counts[at+1:] {
		longer += n
	}
	return (longer + priorEvents*priorTail(times)) / (s.total + priorEvents)
}

// priorTail returns the prior's share, interpolated linearly between its points.
func priorTail(times float64) float64 {
	from := struct{ times, share float64 }{1, 1}
	for _, to := range prior {
		if times <= to.times {
			part := max(times-from.times, 0) / (to.times - from.times)
			return from.share + part*(to.share-from.share)
		}
		from = to
	}
	return from.share * from.times / times
}
