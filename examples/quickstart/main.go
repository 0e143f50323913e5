// Command quickstart runs a complete system in one process: a fake platform,
// three fake model engines and three instances. It applies a deployment, sends
// requests with valid and invalid keys, changes the configuration and runs one
// rollout step.
//
// It prints a line for each part and exits with 0 only if all parts succeed.
package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cumincove/cumincove/internal/daemontest"
)

// timeLimit bounds the whole run.
const timeLimit = time.Minute

// part is one part of the tour and one line of the printed table.
type part struct {
	name string
	run  func(ctx context.Context, t *tour) (string, error)
}

var parts = []part{
	{"deployment applied", applyDeployment},
	{"objects by label", selectByLabel},
	{"entries asked for", listEntries},
	{"whole answer streamed", streamAnswer},
	{"wrong key refused", refuseWrongKey},
	{"rollout step pulled", runStep},
	{"key made and withdrawn", withdrawKey},
	{"change in force at all", changeEverywhere},
	{"audit trail read", readAudit},
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	sys, err := daemontest.Start(daemontest.Options{DataCentres: []string{"dc-a", "dc-b", "dc-c"}})
	if err != nil {
		return err
	}
	defer sys.Close()
	t := newTour(sys)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	failed := 0
	for _, p := range parts {
		started := time.Now()
		detail, err := p.run(ctx, t)
		verdict := "ok"
		if err != nil {
			verdict, detail = "FAILED", err.Error()
			failed++
		}
		took := time.Since(started).Round(time.Millisecond)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", p.name, verdict, took, detail)
	}
	table.Flush()
	if failed > 0 {
		return fmt.Errorf("%d of %d parts failed", failed, len(parts))
	}
	return nil
}
