// Package loadrun drives routers with a named workload and compares policies.
//
// Arrivals are open loop: requests come when they are due, however slow the
// answers are. The routers are the real code, in this process, against the engine
// stand-ins; time is the wall clock. Every token of every answer is checked.
package loadrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/settings"
)

// Load is one comparison. Set the exported fields before Run.
type Load struct {
	// Settings say what to run.
	Settings *settings.Load
	// Clock gives the time.
	Clock clockwork.Clock
	// Out gets the table, Progress a line for each run.
	Out      io.Writer
	Progress io.Writer
}

// Result is one run.
type Result struct {
	Workload string  `json:"workload"`
	Demand   float64 `json:"demand"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Metrics  Metrics `json:"metrics"`
}

// Run makes all runs, one after another, and prints the comparison.
func (l *Load) Run(ctx context.Context) error {
	results, err := l.runs(ctx)
	if err != nil {
		return err
	}
	printTable(l.Out, results)
	if l.Settings.Output != "" {
		if err := writeJSON(l.Settings.Output, results); err != nil {
			return err
		}
	}
	if l.Settings.Plot != "" {
		return writePlot(l.Settings.Plot, results)
	}
	return nil
}

func (l *Load) runs(ctx context.Context) ([]Result, error) {
	w, err := workloadByName(l.Settings.Workload)
	if err != nil {
		return nil, err
	}
	if l.Settings.Target != "" {
		return []Result{l.target(ctx, w)}, nil
	}
	capacity, mean := w.capacity()
	fmt.Fprintf(l.Progress, "%s: %d engines decode %.0f tokens a second when full, answers have %.0f tokens\n",
		w.name, w.count, capacity, mean)
	var results []Result
	total := len(l.Settings.Demand) * l.Settings.Seeds * len(l.Settings.Policies)
	for _, demand := range l.Settings.Demand {
		for s := range l.Settings.Seeds {
			seed := l.Settings.Seed + uint64(s)
			list := w.arrivals(seed, demand*capacity/mean, l.Settings.Duration)
			for _, policy := range l.Settings.Policies {
				b := &bench{
					workload: w, policy: policy, seed: seed, boxes: l.Settings.Boxes,
					yield: !l.Settings.NoYield, margin: l.Settings.Margin, clock: l.Clock,
					faults: l.Settings.Faults, progress: l.Progress,
				}
				began := l.Clock.Now()
				m, err := b.run(ctx, list, l.Settings.Duration)
				if err != nil {
					return results, fmt.Errorf("run %s at %g with %s: %w", w.name, demand, policy, err)
				}
				results = append(results, Result{Workload: w.name, Demand: demand, Policy: policy, Seed: seed, Metrics: m})
				fmt.Fprintf(l.Progress, "run %d of %d: demand %.2f, seed %d, %s: %d sent, %d done in %s\n",
					len(results), total, demand, seed, policy, m.Sent, m.Done, l.Clock.Since(began).Round(time.Second))
				if ctx.Err() != nil {
					return results, context.Cause(ctx)
				}
			}
		}
	}
	return results, nil
}

// target drives a router that runs elsewhere.
func (l *Load) target(ctx context.Context, w *workload) Result {
	s := l.Settings
	list := w.arrivals(s.Seed, s.Rate, s.Duration)
	rec := newRecorder(0, s.Duration, w.accounts[0].name)
	c := &client{
		clock: l.Clock, began: l.Clock.Now(), boxes: []string{s.Target}, model: s.Model,
		keyOf: func(string) string { return s.Key }, to: s.Duration,
	}
	c.prepare()
	drive(ctx, c, rec, list)
	return Result{Workload: w.name, Policy: "target", Seed: s.Seed, Metrics: rec.metrics()}
}

func writeJSON(path string, results []Result) error {
	b, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	if err := os.WriteFile(path, append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}
