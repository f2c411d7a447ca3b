package report

import (
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of plots.
const (
	plotHeight    = 11 * vg.Centimeter
	bySizeWidth   = 16 * vg.Centimeter // of plots over the fleet size
	overTimeWidth = 20 * vg.Centimeter // of plots over time
)

const millisPerSecond = float64(time.Second / time.Millisecond)

// histogramBin is the bin width of plots over time.
const (
	histogramBin  = 100 * time.Millisecond
	binsPerSecond = float64(time.Second / histogramBin)
)

// PlotVirtualGossip plots message rate and propagation time over the fleet size. The extension of the path, .svg or .png,
// selects the format.
func PlotVirtualGossip(result VirtualGossipResult, path string) error {
	chart := plot.New()
	chart.Title.Text = "Gossip in virtual time"
	chart.X.Label.Text = "instances"
	chart.Y.Label.Text = "messages per second and instance; seconds until 99% are informed"
	chart.X.Scale = plot.LogScale{}
	chart.X.Tick.Marker = plot.LogTicks{Prec: -1}
	chart.Y.Min = 0
	chart.Legend.Top = true
	chart.Legend.Left = true
	var lines []any
	for _, line := range []struct {
		name  string
		value func(VirtualGossipSize) float64
	}{
		{"messages per second", func(size VirtualGossipSize) float64 { return size.Messages }},
		{"seconds to detect a death", func(size VirtualGossipSize) float64 { return size.DeathKnownMillis / millisPerSecond }},
		{"seconds to deliver a statement", func(size VirtualGossipSize) float64 { return size.StatementKnownMillis / millisPerSecond }},
	} {
		var points plotter.XYs
		for _, size := range result.Sizes {
			points = append(points, plotter.XY{X: float64(size.Instances), Y: line.value(size)})
		}
		lines = append(lines, line.name, points)
	}
	if err := plotutil.AddLinePoints(chart, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return chart.Save(bySizeWidth, plotHeight, path)
}

// Plot plots polls at the list service and connections to workers over time, for both builds. The extension of the path,
// .svg or .png, selects the format.
func (r ColdStartResult) Plot(path string) error {
	chart := plot.New()
	chart.Title.Text = "Polls and connections"
	chart.X.Label.Text = "seconds"
	chart.Y.Label.Text = "count per 100 ms"
	chart.Legend.Top = true
	var lines []any
	add := func(build string, metrics ColdStartMetrics) {
		lines = append(lines,
			build+": polls", histogram(metrics.pollTimes),
			build+": connections to workers", histogram(metrics.agentConnectTimes))
	}
	add("program", r.Program)
	if r.Baseline != nil {
		add("baseline", *r.Baseline)
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return chart.Save(overTimeWidth, plotHeight, path)
}

// histogram counts times per histogramBin. The X values are in seconds.
func histogram(times []time.Duration) plotter.XYs {
	if len(times) == 0 {
		return plotter.XYs{{}}
	}
	points := make(plotter.XYs, slices.Max(times)/histogramBin+1)
	for i := range points {
		points[i].X = float64(i) / binsPerSecond
	}
	for _, at := range times {
		points[max(at, 0)/histogramBin].Y++
	}
	return points
}
