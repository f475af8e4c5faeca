package telemetry

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// contentType is that of the version of the text format that every scraper supports.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// textWriter writes samples in the Prometheus textWriter format.
type textWriter struct {
	bytes.Buffer
}

// Text returns all metrics in the Prometheus text format.
func (m *Metrics) Text() []byte {
	t := &textWriter{}
	for _, f := range m.families {
		h := f.declaration()
		t.head(h.name, h.help, f.kind())
		f.write(t)
	}
	m.registry.Each(t.registered)
	return t.Bytes()
}

func (t *textWriter) head(name, help, kind string) {
	t.WriteString("# HELP " + name + " " + help + "\n")
	t.WriteString("# TYPE " + name + " " + kind + "\n")
}

func (t *textWriter) sample(name, labels string, v float64) {
	t.WriteString(name)
	if labels != "" {
		t.WriteString("{" + labels + "}")
	}
	t.WriteByte(' ')
	t.WriteString(strconv.FormatFloat(v, 'g', -1, 64))
	t.WriteByte('\n')
}

// histogram writes cumulative buckets, sum and count.
func (t *textWriter) histogram(name, labels string, b *buckets) {
	prefix := labels
	if prefix != "" {
		prefix += ","
	}
	var count int64
	for i, c := range b.counts {
		count += c.Count()
		t.sample(name+"_bucket", prefix+`le="`+boundText(i)+`"`, float64(count))
	}
	t.sample(name+"_sum", labels, float64(b.sum.Count())/float64(time.Second/time.Microsecond))
	t.sample(name+"_count", labels, float64(count))
}

func boundText(i int) string {
	if i == len(bucketBounds) {
		return "+Inf"
	}
	return strconv.FormatFloat(bucketBounds[i].Seconds(), 'g', -1, 64)
}

// quantiles are those exported for a registered timer or histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// registered writes a metric of the go-metrics registry. Kinds that the project doesn't use are
// skipped.
func (t *textWriter) registered(name string, one any) {
	name = namePrefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	switch v := one.(type) {
	case metrics.Counter:
		t.head(name, "see docs/METRICS.md", "counter")
		t.sample(name, "", float64(v.Count()))
	case metrics.Gauge:
		t.head(name, "see docs/METRICS.md", "gauge")
		t.sample(name, "", float64(v.Value()))
	case metrics.GaugeFloat64:
		t.head(name, "see docs/METRICS.md", "gauge")
		t.sample(name, "", v.Value())
	case metrics.Timer:
		s := v.Snapshot()
		t.summary(name+"_seconds", time.Second, s.Percentiles(quantiles), s.Sum(), s.Count())
	case metrics.Histogram:
		s := v.Snapshot()
		t.summary(name, 1, s.Percentiles(quantiles), s.Sum(), s.Count())
	}
}

func (t *textWriter) summary(name string, unit time.Duration, values []float64, sum, count int64) {
	t.head(name, "see docs/METRICS.md", "summary")
	for i, q := range quantiles {
		t.sample(name, `quantile="`+strconv.FormatFloat(q, 'g', -1, 64)+`"`, values[i]/float64(unit))
	}
	t.sample(name+"_sum", "", float64(sum)/float64(unit))
	t.sample(name+"_count", "", float64(count))
}
