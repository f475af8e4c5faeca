package loadrun

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 14
)

// writePlot draws the stall time of each policy at each demand.
func writePlot(path string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Stall time, 99th percentile of streams"
	p.Y.Label.Text = "milliseconds"
	p.X.Label.Text = "demand, share of token capacity"
	p.Legend.Top = true
	byPolicy := make(map[string]plotter.Values)
	var policies, demands []string
	for _, g := range grouped(results) {
		if _, seen := byPolicy[g[0].Policy]; !seen {
			policies = append(policies, g[0].Policy)
		}
		byPolicy[g[0].Policy] = append(byPolicy[g[0].Policy], meanStall(g))
		if g[0].Policy == policies[0] {
			demands = append(demands, fmt.Sprintf("%.2f", g[0].Demand))
		}
	}
	for i, name := range policies {
		bars, err := plotter.NewBarChart(byPolicy[name], vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("draw bars: %w", err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth) * vg.Length(i-len(policies)/2)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(demands...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

func meanStall(group []Result) float64 {
	var sum float64
	for _, r := range group {
		sum += r.Metrics.StallP99
	}
	return sum / float64(len(group))
}
