package loadrun

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// column is one figure of the table.
type column struct {
	head string
	get  func(*Metrics) float64
}

func columns() []column {
	return []column{
		{"stall p99", func(m *Metrics) float64 { return m.StallP99 }},
		{"gap p99", func(m *Metrics) float64 { return m.TokenGapP99 }},
		{"gap p99.9", func(m *Metrics) float64 { return m.TokenGapP999 }},
		{"first p50", func(m *Metrics) float64 { return m.FirstTokenP50 }},
		{"first p99", func(m *Metrics) float64 { return m.FirstTokenP99 }},
		{"top first p99", func(m *Metrics) float64 { return m.TopFirstTokenP99 }},
		{"lookup p99", func(m *Metrics) float64 { return m.LookupP99 }},
		{"preempt", func(m *Metrics) float64 { return float64(m.Preemptions) }},
		{"aside", func(m *Metrics) float64 { return float64(m.PushedAside) }},
		{"mem err %", func(m *Metrics) float64 { return m.MemoryRMS }},
		{"tokens/s", func(m *Metrics) float64 { return m.Goodput }},
		{"sent", func(m *Metrics) float64 { return float64(m.Sent) }},
		{"done", func(m *Metrics) float64 { return float64(m.Done) }},
		{"refused", func(m *Metrics) float64 { return float64(m.Refused) }},
		{"not run", func(m *Metrics) float64 { return float64(m.NotRun) }},
		{"cut", func(m *Metrics) float64 { return float64(m.Cut) }},
		{"unknown", func(m *Metrics) float64 { return float64(m.Unknown) }},
		{"wrong", func(m *Metrics) float64 { return float64(m.Wrong) }},
		{"finished", func(m *Metrics) float64 { return float64(m.EnginesFinished) }},
		{"twice", func(m *Metrics) float64 { return float64(m.Repeated) }},
	}
}

// printTable prints a line for each demand and policy: the median over the seeds,
// with the spread behind it when there are several. Times are in milliseconds.
func printTable(w io.Writer, results []Result) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tw, "demand\tpolicy\t")
	for _, c := range columns() {
		fmt.Fprintf(tw, "%s\t", c.head)
	}
	fmt.Fprintln(tw)
	for _, group := range grouped(results) {
		fmt.Fprintf(tw, "%.2f\t%s\t", group[0].Demand, group[0].Policy)
		for _, c := range columns() {
			fmt.Fprintf(tw, "%s\t", spread(group, c.get))
		}
		fmt.Fprintln(tw)
	}
	_ = tw.Flush()
}

// grouped puts the seeds of one demand and policy together, in the order of runs.
func grouped(results []Result) [][]Result {
	var out [][]Result
	for _, r := range results {
		i := slices.IndexFunc(out, func(g []Result) bool {
			return g[0].Demand == r.Demand && g[0].Policy == r.Policy
		})
		if i < 0 {
			out = append(out, nil)
			i = len(out) - 1
		}
		out[i] = append(out[i], r)
	}
	return out
}

// spread prints the median, and the least and greatest of several seeds.
func spread(group []Result, get func(*Metrics) float64) string {
	values := make([]float64, 0, len(group))
	for i := range group {
		values = append(values, get(&group[i].Metrics))
	}
	slices.Sort(values)
	middle := values[len(values)/2]
	if len(values) == 1 {
		return fmt.Sprintf("%.0f", middle)
	}
	return fmt.Sprintf("%.0f (%.0f-%.0f)", middle, values[0], values[len(values)-1])
}
