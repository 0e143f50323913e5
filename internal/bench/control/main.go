// Command control measures what the control traffic costs an instance. It runs
// daemon processes on loopback against a fake platform, without any caller. The
// ratio of endpoints to instances is that of the target deployment. For each
// number of instances it prints the processor time, the memory and the bytes
// sent and received of one instance, and the reads and writes of all instances
// at the store.
//
//	go run ./internal/bench/control --sizes 5,10,20,40,80
//
// Bytes are counted at the read and write system calls of a process. They
// include all its sockets and also its log lines.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

type flags struct {
	sizes                []int
	endpointsPerInstance float64
	warmUp               time.Duration
	measureTime          time.Duration
	timing               string
	daemon               string
}

func main() {
	app := kingpin.New("control", "Measures the cost of the control traffic of an instance, by the number of instances.")
	var f flags
	sizes := app.Flag("sizes", "Numbers of instances, separated by commas.").Default("5,10,20,40,80").String()
	app.Flag("endpoints", "Number of endpoints per instance.").Default("3.08").Float64Var(&f.endpointsPerInstance)
	app.Flag("warm", "Time between the readiness of all instances and the measurement.").Default("15s").DurationVar(&f.warmUp)
	app.Flag("measure", "Duration of the measurement.").Default("20s").DurationVar(&f.measureTime)
	app.Flag("timing", "The instances' timing settings, as JSON.").Default("{}").StringVar(&f.timing)
	app.Flag("daemon", "Path of the daemon to measure; built from source if empty.").StringVar(&f.daemon)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, s := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			app.Fatalf("size %q is not a number", s)
		}
		f.sizes = append(f.sizes, n)
	}
	if err := run(f); err != nil {
		app.Fatalf("%v", err)
	}
}

func run(f flags) error {
	dir, err := os.MkdirTemp("", "control")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	daemon, err := daemonBinary(f.daemon, dir)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "instances\tprocessor % (most)\tmemory MB (most)\tsent KB/s (most)\treceived KB/s\tstore reads/s\tstore writes/s")
	for _, n := range f.sizes {
		c, err := measureSize(f, daemon, dir, n)
		if err != nil {
			return fmt.Errorf("%d instances: %w", n, err)
		}
		fmt.Fprintf(table, "%d\t%.2f (%.2f)\t%.1f (%.1f)\t%.1f (%.1f)\t%.1f\t%.1f\t%.1f\n", n,
			c.processor.mean(), c.processor.max(), c.memory.mean(), c.memory.max(),
			c.sent.mean(), c.sent.max(), c.received.mean(), c.reads, c.writes)
		table.Flush()
	}
	return nil
}

// daemonBinary returns the path of the daemon to measure. If path is empty, it
// builds the daemon in dir.
func daemonBinary(path, dir string) (string, error) {
	if path != "" {
		return path, nil
	}
	daemon := filepath.Join(dir, "cumincoved")
	build := exec.Command("go", "build", "-o", daemon, "./cmd/cumincoved")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("build the daemon: %w", err)
	}
	return daemon, nil
}

// measureSize starts n instances, waits until all are ready, and measures them.
func measureSize(f flags, daemon, dir string, n int) (*cost, error) {
	s, err := start(f, daemon, dir, n)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(f.warmUp)
	before, err := s.sample()
	if err != nil {
		return nil, err
	}
	time.Sleep(f.measureTime)
	after, err := s.sample()
	if err != nil {
		return nil, err
	}
	return costBetween(before, after), nil
}
