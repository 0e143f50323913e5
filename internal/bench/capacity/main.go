// Command capacity measures, within its own process, how the state, processor
// time and memory of one instance grow with the size of a deployment. For each
// quantity it prints the values and the slope of the line fitted to them.
// docs/CAPACITY.md uses the slopes.
//
//	go run ./internal/bench/capacity
//	go run ./internal/bench/capacity --plots docs/capacity
package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"gonum.org/v1/gonum/stat"
)

// series is one quantity measured at several sizes.
type series struct {
	name string
	// axis names what the sizes count, and unit is the unit of the values.
	axis, unit string
	sizes      []float64
	values     []float64
	// target is the size for which the value is extrapolated from the line.
	target float64
}

// line returns the least-squares line through the values.
func (s *series) line() (base, slope float64) {
	return stat.LinearRegression(s.sizes, s.values, nil, false)
}

func main() {
	app := kingpin.New("capacity", "Measures how an instance's state grows with the deployment.")
	plots := app.Flag("plots", "Folder to write a plot of each quantity to, as SVG.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	list := measure()
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, s := range list {
		base, slope := s.line()
		fmt.Fprintf(table, "%s\tby %s\t", s.name, s.axis)
		for i, size := range s.sizes {
			fmt.Fprintf(table, "%.0f: %.4g\t", size, s.values[i])
		}
		fmt.Fprintf(table, "slope %.4g %s\tat %.0f: %.4g %s\n", slope, s.unit, s.target, base+slope*s.target, s.unit)
	}
	table.Flush()
	if *plots == "" {
		return
	}
	for _, s := range list {
		if err := draw(*plots, s); err != nil {
			app.Fatalf("plot %s: %v", s.name, err)
		}
	}
}
