package telemetry

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
)

// family is a metric with all its series.
type family interface {
	declaration() metricInfo
	kind() string
	write(t *textWriter)
}

func (h metricInfo) declaration() metricInfo { return h }

// counters counts events by label values.
type counters struct {
	vector[metrics.Counter]
}

// Inc adds one to the series of the label values.
func (c *counters) Inc(values ...string) { c.seriesFor(values).Inc(1) }

func (c *counters) kind() string { return "counter" }

func (c *counters) write(t *textWriter) {
	c.each(func(labels string, one metrics.Counter) {
		t.sample(c.name, labels, float64(one.Count()))
	})
}

// gauge is a current value.
type gauge struct {
	metricInfo

	value metrics.GaugeFloat64
}

// Set sets the value.
func (g *gauge) Set(v float64) { g.value.Update(v) }

// Compute makes the gauge call f at each scrape. Call it before Serve.
func (g *gauge) Compute(f func() float64) { g.value = metrics.NewFunctionalGaugeFloat64(f) }

func (g *gauge) kind() string { return "gauge" }

func (g *gauge) write(t *textWriter) { t.sample(g.name, "", g.value.Value()) }

// gauges are current values by label values.
type gauges struct {
	vector[metrics.GaugeFloat64]
}

// Set sets the value of the series of the label values.
func (g *gauges) Set(v float64, values ...string) { g.seriesFor(values).Update(v) }

// Remove removes the series of the label values.
func (g *gauges) Remove(values ...string) { g.remove(values) }

func (g *gauges) kind() string { return "gauge" }

func (g *gauges) write(t *textWriter) {
	g.each(func(labels string, one metrics.GaugeFloat64) {
		t.sample(g.name, labels, one.Value())
	})
}

// bucketBounds are the upper bounds of the latency buckets. They are dense where callers notice
// pauses and times to first event, 50 ms to 1 s, and reach the length of long streams.
var bucketBounds = []time.Duration{
	time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond,
	500 * time.Millisecond, 750 * time.Millisecond, time.Second, 2 * time.Second,
	5 * time.Second, 10 * time.Second, 20 * time.Second, 60 * time.Second,
}

// buckets is one histogram. The last element counts values above all bounds.
type buckets struct {
	counts []metrics.Counter
	sum    metrics.Counter // microseconds
}

func newBuckets() *buckets {
	b := &buckets{sum: metrics.NewCounter()}
	for range len(bucketBounds) + 1 {
		b.counts = append(b.counts, metrics.NewCounter())
	}
	return b
}

func (b *buckets) observe(d time.Duration) {
	i, _ := slices.BinarySearch(bucketBounds, d)
	b.counts[i].Inc(1)
	b.sum.Inc(d.Microseconds())
}

// histograms counts durations by label values.
type histograms struct {
	vector[*buckets]
}

// Observe adds a duration to the series of the label values.
func (h *histograms) Observe(d time.Duration, values ...string) { h.seriesFor(values).observe(d) }

func (h *histograms) kind() string { return "histogram" }

func (h *histograms) write(t *textWriter) {
	h.each(func(labels string, one *buckets) {
		t.histogram(h.name, labels, one)
	})
}
