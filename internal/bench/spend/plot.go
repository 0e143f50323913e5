package main

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of the plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// draw writes an SVG plot of the running endpoints and the demand over time.
func draw(folder string, history []point) error {
	p := plot.New()
	p.Title.Text = "Endpoints over time, Celeste's size"
	p.X.Label.Text = "minutes"
	p.Y.Label.Text = "endpoints"
	p.Legend.Top = true
	line := func(value func(point) float64) plotter.XYs {
		points := make(plotter.XYs, len(history))
		for i, pt := range history {
			points[i] = plotter.XY{X: pt.at.Minutes(), Y: value(pt)}
		}
		return points
	}
	err := plotutil.AddLines(p,
		"cheap", line(func(pt point) float64 { return pt.cheap }),
		"on demand", line(func(pt point) float64 { return pt.onDemand }),
		"interactive demand", line(func(pt point) float64 { return pt.interactive }))
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, "endpoints-over-time.svg"))
}
