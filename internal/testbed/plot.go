package testbed

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// PlotVirtual draws cost and speed against the size of a fleet. The ending of the file's name, .svg or .png, says
// how.
func PlotVirtual(r VirtualResult, path string) error {
	p := plot.New()
	p.Title.Text = "Gossip in virtual time"
	p.X.Label.Text = "instances"
	p.Y.Label.Text = "messages a second an instance; seconds until 99% know"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, l := range []struct {
		name string
		of   func(VirtualSize) float64
	}{
		{"messages a second", func(v VirtualSize) float64 { return v.Messages }},
		{"seconds to know a death", func(v VirtualSize) float64 { return v.Death / 1000 }},
		{"seconds to know a statement", func(v VirtualSize) float64 { return v.Statement / 1000 }},
	} {
		var points plotter.XYs
		for _, v := range r.Sizes {
			points = append(points, plotter.XY{X: float64(v.Instances), Y: l.of(v)})
		}
		lines = append(lines, l.name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return p.Save(16*vg.Centimeter, 11*vg.Centimeter, path)
}
