package main

import (
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// draw writes an SVG plot of the measured points and their least-squares line.
func draw(folder string, s *series) error {
	p := plot.New()
	p.Title.Text = s.name
	p.X.Label.Text = s.axis
	p.Y.Label.Text = s.unit
	p.Y.Min = 0
	points := make(plotter.XYs, len(s.sizes))
	for i := range s.sizes {
		points[i] = plotter.XY{X: s.sizes[i], Y: s.values[i]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	base, slope := s.line()
	fit := plotter.NewFunction(func(x float64) float64 { return base + slope*x })
	p.Add(plotter.NewGrid(), scatter, fit)
	name := strings.ReplaceAll(s.name, " ", "-") + ".svg"
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, name))
}
