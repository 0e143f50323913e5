// Command requests measures the cost of deduplication per request, and the share
// of streams that are complete while engines crash repeatedly. Requests run over
// TCP through two instances of the daemon, against fake services in this
// process. docs/design/deduplication.md and docs/design/resume.md have its
// figures.
//
//	go run ./internal/bench/requests deduplication --requests 3000
//	go run ./internal/bench/requests resume --streams 200
package main

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cumincove/cumincove/internal/invariant"
)

func main() {
	app := kingpin.New("requests", "Measures requests through two instances of the daemon.")
	dedup := app.Command("deduplication", "The time and the table calls per request, with and without deduplication.")
	requests := dedup.Flag("requests", "Requests per row.").Default("3000").Int()
	resume := app.Command("resume", "The share of complete streams, with and without resumption.")
	streams := resume.Flag("streams", "Streams per row.").Default("200").Int()
	every := resume.Flag("every", "Time between crashes; can be repeated.").Default("500ms", "1s", "2s", "5s").DurationList()
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case dedup.FullCommand():
		err = withInvariantCheck(func(t *tabwriter.Writer) error { return deduplication(t, *requests) })
	case resume.FullCommand():
		err = withInvariantCheck(func(t *tabwriter.Writer) error { return resumption(t, *every, *streams) })
	}
	if err != nil {
		app.Fatalf("%v", err)
	}
}

// withInvariantCheck runs a measurement that prints a table on standard output.
// It fails if an invariant is violated during the measurement.
func withInvariantCheck(measure func(*tabwriter.Writer) error) error {
	var violated atomic.Pointer[error]
	invariant.OnBroken(func(n invariant.Name, msg string) {
		err := fmt.Errorf("invariant %s: %s", n, msg)
		violated.CompareAndSwap(nil, &err)
	})
	defer invariant.OnBroken(nil)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer table.Flush()
	err := measure(table)
	if v := violated.Load(); v != nil {
		err = errors.Join(err, *v)
	}
	return err
}
