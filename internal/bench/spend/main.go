// Command spend simulates hours of demand, with bursts and with data centres whose
// cheap endpoints are reclaimed. It does this in simulated time for the planner of
// package capacity and for two baselines, and prints the cost of each and the
// latency of interactive requests. docs/design/capacity.md has its figures.
//
//	go run ./internal/bench/spend -plot docs/capacity
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	folder := flag.String("plot", "", "folder to write the plot to; no plot if empty")
	seed := flag.Uint64("seed", 1, "seed for the random arrivals and reclaims")
	flag.Parse()
	if err := run(*folder, *seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(folder string, seed uint64) error {
	fmt.Println("| size | policy | spend an hour | work on cheap | interactive p99 | p99 in the minute after a reclaim | rollout work done | orders a minute | orders a second, most | planning, us |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, size := range sizes {
		for _, p := range policies {
			s := newSimulation(size, p, seed)
			s.run()
			s.print()
			if folder != "" && size.name == sizes[0].name && p.name == policies[0].name {
				if err := draw(folder, s.history); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// print prints the row of the table for the simulation.
func (s *simulation) print() {
	hours := s.size.duration.Hours()
	minutes := s.size.duration.Minutes()
	fmt.Printf("| %s | %s | %.2f | %.0f %% | %.1f s | %.1f s | %.0f %% | %.2f | %d | %.1f |\n",
		s.size.name, s.policy.name, s.spent/hours,
		100*s.workCheap/(s.workCheap+s.workOnDemand),
		s.latencies.percentile(99).Seconds(), s.latenciesAfterReclaim.percentile(99).Seconds(),
		100*s.rolloutDone/s.rolloutRequested, float64(s.orders)/minutes, s.maxOrdersPerSecond,
		float64(s.planningTime)/float64(time.Microsecond)/float64(s.plans))
}
