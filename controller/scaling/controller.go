package scaling

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

const (
	// pollPeriod is the time between two checks of the counts.
	pollPeriod = 500 * time.Millisecond
	// settleTime is the time that a new holder waits before it sends orders.
	// Entries of endpoints that expired while the store was unavailable are back
	// by then.
	settleTime = 3 * time.Second
	// callTimeout bounds a call to the table.
	callTimeout = time.Second
)

// Options are the settings and dependencies of a Controller.
type Options struct {
	Scaler infra.Scaler
	Leases *leases.Manager
	Views  *view.Store
	Clock  clock.Clock
	Log    *slog.Logger
	Scope  tally.Scope
	Holder string
	// Fresh reports whether the endpoints in the snapshot are current.
	Fresh func() bool
}

// Controller sends the orders while its instance holds the duty.
type Controller struct {
	o    Options
	duty *leases.Runner
	plan *Plan
	// epoch is the epoch of the current term, and since is when it was first
	// observed.
	epoch uint64
	since time.Duration
	// desired contains the rows that were read in this term, by key.
	desired map[string]map[string]int
}

// New returns a Controller.
func New(o Options) *Controller {
	return &Controller{
		o: o, duty: o.Leases.Runner(leases.Duty{Name: leases.Orders}),
		plan: NewPlan(), desired: map[string]map[string]int{},
	}
}

// Run checks the counts periodically until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(pollPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.reconcile(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile sends the orders that are due. It does nothing if the endpoints in
// the snapshot are not current: missing data never means that there are no
// endpoints.
func (c *Controller) reconcile(ctx context.Context) {
	term, err := c.duty.Guard().Term()
	if err != nil || !c.o.Fresh() {
		c.epoch = 0
		return
	}
	now := c.o.Clock.Now()
	if term.Epoch != c.epoch {
		c.epoch, c.since = term.Epoch, now
		clear(c.desired)
	}
	if now-c.since < settleTime {
		return
	}
	v := c.o.Views.Load()
	for _, s := range v.Config.Services {
		for _, p := range s.Pools {
			if v.Evacuated(p.DataCentre) {
				continue // its endpoints are not lost
			}
			c.reconcilePool(ctx, v, s.Name, p)
		}
	}
}

// reconcilePool compares the endpoints of a service in a data centre with the
// desired counts, and sends the orders that are due. The bound in the pool's
// configuration applies to both price classes together.
func (c *Controller) reconcilePool(ctx context.Context, v *view.View, service string, p config.Pool) {
	live := liveCounts(v, service, p.DataCentre)
	desired, err := c.desiredCounts(ctx, service, p, live[OnDemand])
	if err != nil {
		c.o.Log.Debug("failed to read or write desired endpoint counts", "service", service, "data_centre", p.DataCentre, "error", err)
		return
	}
	for _, tier := range []string{OnDemand, Cheap} {
		pool := Pool{Service: service, DataCentre: p.DataCentre, Tier: tier}
		if c.plan.Due(c.o.Clock.Now(), pool, live[tier], desired[tier]) {
			c.order(ctx, pool, live[tier], desired[tier], time.Duration(p.StartupDuration))
		}
	}
}

// liveCounts returns the number of endpoints that are not leaving, by price class.
func liveCounts(v *view.View, service, dataCentre string) map[string]int {
	counts := map[string]int{}
	for _, e := range v.Endpoints[service] {
		if e.DataCentre == dataCentre && !e.Leaving {
			counts[e.Tier]++
		}
	}
	return counts
}

// desiredCounts returns the row with the desired counts of a service and data
// centre, and writes it first if there is none.
func (c *Controller) desiredCounts(ctx context.Context, service string, p config.Pool, onDemand int) (map[string]int, error) {
	key := "scaling/" + service + "/" + p.DataCentre
	if counts, ok := c.desired[key]; ok {
		return counts, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts := map[string]int{}
	version, err := infra.GetJSON(ctx, c.duty.Table(), key, &counts)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		counts = DesiredCounts(onDemand, p.Max)
		if err := c.duty.Table().Commit(ctx, infra.PutJSON(key, 0, counts)); err != nil {
			return nil, err
		}
		c.o.Log.Info("desired endpoint counts stored", "service", service, "data_centre", p.DataCentre, "counts", counts)
	}
	c.desired[key] = counts
	return counts, nil
}

func (c *Controller) order(ctx context.Context, pool Pool, live, desired int, startupDuration time.Duration) {
	err := c.duty.Do(ctx, func(ctx context.Context, epoch uint64) error {
		return c.o.Scaler.Order(ctx, infra.EndpointOrder{
			Service: pool.Service, DataCentre: pool.DataCentre, Tier: pool.Tier,
			Count: desired, Epoch: epoch, Holder: c.o.Holder,
		})
	})
	c.o.Log.Info("endpoints ordered", "service", pool.Service, "data_centre", pool.DataCentre, "tier", pool.Tier,
		"live", live, "wanted", desired, "error", err)
	c.o.Scope.Counter("endpoint_orders").Inc(1)
	now := c.o.Clock.Now()
	if err == nil || errors.Is(err, infra.ErrUnknownOutcome) {
		c.plan.Ordered(now, pool, startupDuration)
		return
	}
	c.plan.Refused(now, pool)
}
