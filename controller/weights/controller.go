package weights

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/lease"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// DutyName is the name of the duty under which orders are sent. Each data centre
// has its own.
const DutyName = "weights"

// Duty is the lease of a duty; see leases.Runner.
type Duty interface {
	// Do calls f as an operation under the lease, with the lease's epoch.
	Do(ctx context.Context, f func(ctx context.Context, epoch uint64) error) error
	// Guard returns the guard of the lease, which reports whether it is held.
	Guard() *lease.Guard
}

// Options configures a Controller.
type Options struct {
	Targets Targets
	Views   *view.Store
	Clock   clock.Clock
	Engine  *engine.Client
	// Duty returns the lease of the duty in a data centre.
	Duty func(dataCentre string) Duty
	Log  *slog.Logger
	// Scope receives the metrics.
	Scope tally.Scope
	// Poll is the period between two passes over a data centre, in each of which
	// its worker reads the reports and sends the orders that are due.
	Poll time.Duration
}

// Controller swaps the replicas (engines) of the data centres whose duty this
// instance holds.
type Controller struct {
	o Options
}

// New returns a Controller.
func New(o Options) *Controller {
	return &Controller{o: o}
}

// Run swaps replicas until ctx ends. It starts a worker for each data centre in
// which endpoints of engine services appear.
func (c *Controller) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	workers := map[string]*dcWorker{}
	t := time.NewTicker(c.o.Poll)
	defer t.Stop()
	for {
		for _, dc := range dataCentres(c.o.Views.Load()) {
			if workers[dc] == nil {
				worker := newDCWorker(c.o, dc)
				workers[dc] = worker
				wg.Go(func() { worker.run(ctx) })
			}
		}
		for _, worker := range workers {
			worker.requestSync()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// dataCentres lists the data centres that have endpoints of engine services.
func dataCentres(v *view.View) []string {
	var all []string
	for _, name := range engineServices(v) {
		for _, e := range v.Endpoints[name] {
			all = append(all, e.DataCentre)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func engineServices(v *view.View) []string {
	var names []string
	for _, name := range v.Config.ServiceNames() {
		if v.Config.Services[name].Type == config.ServiceEngine {
			names = append(names, name)
		}
	}
	return names
}
