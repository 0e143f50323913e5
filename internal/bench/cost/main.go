// Command cost compares the processor time per request of the filter chain of
// services with that of a bare forwarder in the same run. The program starts a
// second process, the load process, which contains the callers and the
// endpoints, so that the processor time of this process is that of the forwarder
// only. docs/design/outcomes.md has its figures.
//
//	go run ./internal/bench/cost --requests 2000 --rounds 4
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

type flags struct {
	requests    int
	rounds      int
	loadProcess bool
}

type size struct{ teams, endpoints int }

var sizes = []size{{1, 10}, {10, 10}, {100, 10}, {100, 100}, {100, 1_600}}

func main() {
	app := kingpin.New("cost", "Compares the processor time per request with that of a bare forwarder.")
	var f flags
	app.Flag("requests", "Requests per round through each of the two forwarders.").Default("2000").IntVar(&f.requests)
	app.Flag("rounds", "Rounds for each size.").Default("4").IntVar(&f.rounds)
	app.Flag("other-side", "Run as the load process, which contains the callers and the endpoints.").Hidden().BoolVar(&f.loadProcess)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if f.requests < 1 || f.rounds < 1 {
		app.Fatalf("requests and rounds must be at least 1")
	}
	run := compare
	if f.loadProcess {
		run = serveLoadProcess
	}
	if err := run(f); err != nil {
		app.Fatalf("%v", err)
	}
}

// compare prints a line with both processor times for each size.
func compare(f flags) error {
	load, err := startLoadProcess()
	if err != nil {
		return fmt.Errorf("start the load process: %w", err)
	}
	defer load.stop()
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "teams\tendpoints\tbare us/request\tchain us/request\tratio")
	for _, s := range sizes {
		bareTime, chainTime, err := load.measure(f, s)
		if err != nil {
			return fmt.Errorf("%d teams, %d endpoints: %w", s.teams, s.endpoints, err)
		}
		fmt.Fprintf(table, "%d\t%d\t%.1f\t%.1f\t%.3f\n", s.teams, s.endpoints,
			micros(bareTime), micros(chainTime), float64(chainTime)/float64(bareTime))
	}
	return nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
