package endpoints

import (
	"context"
	"errors"
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/capacity"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/invariant"
	"github.com/cumincove/cumincove/lease"
	"github.com/cumincove/cumincove/order"
)

// maxSteps bounds the actions of one pass, so that an observation comes in
// between.
const maxSteps = 256

// site is the work for one data centre.
type site struct {
	c          *Controller
	dataCentre string
	duty       *leases.Runner
	watch      *Watch // needs c.mu
	machine    *order.Machine
	planners   map[string]*capacity.Planner // by service
	// turns makes the site observe and act, wake act only.
	turns chan struct{}
	wake  chan struct{}
	log   *slog.Logger

	observed   tally.Counter
	unobserved tally.Counter
	ordered    tally.Counter
	unknown    tally.Counter
	out        tally.Gauge // pools that are not counted on
}

func newSite(c *Controller, dataCentre string) *site {
	scope := c.o.Metrics.Tagged(map[string]string{"data_centre": dataCentre})
	return &site{
		c:          c,
		dataCentre: dataCentre,
		duty:       c.o.Keeper.Runner(leases.Duty{Name: leases.Orders, DataCentre: dataCentre}),
		watch:      c.watch(dataCentre),
		machine:    order.New(order.Config{DataCentre: dataCentre, Retry: c.o.Poll, Settle: c.o.Settle}),
		planners:   map[string]*capacity.Planner{},
		turns:      make(chan struct{}, 1),
		wake:       make(chan struct{}, 1),
		log:        c.o.Log.With("data_centre", dataCentre),
		observed:   scope.Counter("endpoints_observed"),
		unobserved: scope.Counter("endpoints_not_observed"),
		ordered:    scope.Counter("endpoint_orders"),
		unknown:    scope.Counter("endpoint_orders_unknown"),
		out:        scope.Gauge("endpoint_pools_out"),
	}
}

// turn begins an observation, if it is for this instance to make and none is
// under way. The sites of others have nothing to wake up for.
func (s *site) turn() {
	if _, due := s.begin(s.epoch()); due {
		notify(s.turns)
	}
}

// wakeUp makes the site act, if it holds the duty.
func (s *site) wakeUp() {
	if s.epoch() > 0 {
		notify(s.wake)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *site) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.turns:
			s.observe(ctx)
		case <-s.wake:
		}
		s.act(ctx)
	}
}

// observe reads what runs, if it is for this instance to do. A failure changes
// nothing: missing data does not mean that there are no endpoints.
func (s *site) observe(ctx context.Context) {
	epoch := s.epoch()
	begun, due := s.begin(epoch)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.c.o.Poll)
	defer cancel()
	started := s.c.o.Clock.Now()
	s.observed.Inc(1)
	list, err := s.c.o.Endpoints.Observe(ctx, s.dataCentre)
	if err != nil {
		s.unobserved.Inc(1)
		s.log.Debug("endpoints not observed", "error", err)
		return
	}
	if s.epoch() != epoch {
		epoch = 0
	}
	s.take(begun, epoch, list)
	s.machine.Step(s.c.o.Clock.Now(), order.Observed{Started: started, Counts: liveCounts(list)})
}

// epoch is that of the lease, or 0 while it is not held.
func (s *site) epoch() uint64 {
	term, err := s.duty.Guard().Term()
	if err != nil {
		return 0
	}
	return term.Epoch
}

func (s *site) begin(epoch uint64) (begun uint64, due bool) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.watch.Begun(), s.watch.Due(s.c.o.Clock.Now(), epoch > 0)
}

// take publishes an observation. What the holder finds changed, such as a
// reclaim notice, is told at once, and so is the first one of its term: without
// it the list counts as old elsewhere.
func (s *site) take(begun, epoch uint64, list []infra.RunningEndpoint) {
	s.c.mu.Lock()
	first := epoch > s.watch.epoch
	changed := s.watch.Observed(s.c.o.Clock.Now(), begun, epoch, list)
	if changed || first {
		s.c.publish()
	}
	s.c.mu.Unlock()
	if (changed || first) && epoch > 0 {
		s.c.o.Urge()
	}
}

// act gives the orders that are due, if this instance holds the duty.
func (s *site) act(ctx context.Context) {
	term, err := s.duty.Guard().Term()
	if err != nil {
		return
	}
	if s.machine.Epoch() != term.Epoch {
		s.machine.Begin(term.Epoch)
		clear(s.planners)
		read, cancel := context.WithTimeout(ctx, s.c.o.Poll)
		s.c.readOthers(read)
		cancel()
	}
	s.c.heldAt.Store(int64(s.c.o.Clock.Now()))
	planned := s.want()
	for range maxSteps {
		planned = planned || s.want()
		actions := s.machine.Tick(s.c.o.Clock.Now())
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			e := s.do(ctx, a)
			s.machine.Step(s.c.o.Clock.Now(), e)
		}
	}
}

func (s *site) do(ctx context.Context, a order.Action) order.Event {
	switch a := a.(type) {
	case order.Write:
		return order.WriteDone{Outcome: leases.EffectOf(s.write(ctx, a))}
	case order.Send:
		return order.SendDone{Outcome: s.send(ctx, a)}
	default:
		return s.load(ctx)
	}
}

func (s *site) send(ctx context.Context, a order.Send) effect.Outcome {
	o := infra.EndpointOrder{
		ID:         a.Intent.ID,
		DataCentre: s.dataCentre,
		Service:    a.Set.Service,
		Tier:       a.Set.Tier,
		Count:      a.Intent.Count,
		Epoch:      a.Intent.Epoch,
		Holder:     s.c.o.Holder,
	}
	err := s.duty.Do(ctx, func(ctx context.Context, epoch uint64) error {
		if epoch != o.Epoch {
			return lease.ErrNotHeld
		}
		return s.c.o.Endpoints.Order(ctx, o)
	})
	s.assertAlone(o, err)
	s.log.Info("endpoint order", "id", o.ID, "count", o.Count, "epoch", o.Epoch, "error", err)
	s.ordered.Inc(1)
	if !infra.Definite(err) && !errors.Is(err, lease.ErrNotHeld) {
		s.unknown.Inc(1)
	}
	return leases.EffectOf(err)
}

// assertAlone asserts that no later holder gave orders while this one may.
func (s *site) assertAlone(o infra.EndpointOrder, err error) {
	stale := errors.Is(err, infra.ErrStaleEpoch) && s.duty.Guard().Check(o.Epoch) == nil
	invariant.Check(invariant.OneOrderer, !stale,
		"order %s of epoch %d refused as stale while the lease is held", o.ID, o.Epoch)
}
