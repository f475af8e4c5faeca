package telemetry

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

const (
	// maxLabels is the maximum number of labels of a metric.
	maxLabels = 2
	// maxSeries limits the series of one metric: backend servers are replaced all day under new
	// names. Further label values share the series "other".
	maxSeries = 256
	// otherValue replaces label values beyond maxSeries.
	otherValue = "other"
)

// labelValues are the label values of a series, in the order of the label names.
type labelValues [maxLabels]string

// metricInfo is the declaration of a metric.
type metricInfo struct {
	name   string
	help   string
	labels []string
}

// vector holds one T for each combination of label values.
type vector[T any] struct {
	metricInfo

	create func() T
	mu     sync.RWMutex
	series map[labelValues]T
}

func newVector[T any](name, help string, labels []string, create func() T) vector[T] {
	return vector[T]{
		metricInfo: metricInfo{name: namePrefix + name, help: help, labels: labels},
		create:     create,
		series:     make(map[labelValues]T),
	}
}

// seriesFor returns the series seriesFor the values, and creates it if necessary. Missing values are
// empty, surplus ones are ignored.
func (v *vector[T]) seriesFor(values []string) T {
	var key labelValues
	copy(key[:], values)
	v.mu.RLock()
	one, ok := v.series[key]
	v.mu.RUnlock()
	if ok {
		return one
	}
	return v.add(key)
}

// remove removes the series of the values.
func (v *vector[T]) remove(values []string) {
	var key labelValues
	copy(key[:], values)
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.series, key)
}

func (v *vector[T]) add(key labelValues) T {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.series) >= maxSeries {
		key = labelValues{otherValue, otherValue}
	}
	if one, ok := v.series[key]; ok {
		return one
	}
	one := v.create()
	v.series[key] = one
	return one
}

// each calls visit for every series, sorted by label values.
func (v *vector[T]) each(visit func(labels string, one T)) {
	v.mu.RLock()
	series := maps.Clone(v.series)
	v.mu.RUnlock()
	keys := slices.SortedFunc(maps.Keys(series), func(a, b labelValues) int { return slices.Compare(a[:], b[:]) })
	for _, key := range keys {
		visit(labelText(v.labels, key), series[key])
	}
}

// labelEscaper escapes label values for the text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// labelText returns name="value" pairs separated by commas.
func labelText(names []string, values labelValues) string {
	var b strings.Builder
	for i, name := range names {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(name)
		b.WriteString(`="`)
		b.WriteString(labelEscaper.Replace(values[i]))
		b.WriteByte('"')
	}
	return b.String()
}
