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

// maxSteps bounds the rounds of actions in one pass, so that the worker can
// observe again in between.
const maxSteps = 256

// dcWorker observes and orders the endpoints of one data centre.
type dcWorker struct {
	c          *Controller
	dataCentre string
	duty       *leases.Runner
	watch      *Watch // protected by c.mu
	machine    *order.Machine
	planners   map[string]*capacity.Planner // by service
	// observeNow triggers an observation and then the due orders, ordersNow only
	// the due orders.
	observeNow chan struct{}
	ordersNow  chan struct{}
	log        *slog.Logger

	observed         tally.Counter
	unobserved       tally.Counter
	ordered          tally.Counter
	unknownOutcomes  tally.Counter
	unavailablePools tally.Gauge // pools that the planner treats as unavailable
}

func newDCWorker(c *Controller, dataCentre string) *dcWorker {
	scope := c.o.Metrics.Tagged(map[string]string{"data_centre": dataCentre})
	return &dcWorker{
		c:                c,
		dataCentre:       dataCentre,
		duty:             c.o.Leases.Runner(leases.Duty{Name: leases.Orders, DataCentre: dataCentre}),
		watch:            c.watch(dataCentre),
		machine:          order.New(order.Config{DataCentre: dataCentre, Retry: c.o.Poll, Settle: c.o.Settle}),
		planners:         map[string]*capacity.Planner{},
		observeNow:       make(chan struct{}, 1),
		ordersNow:        make(chan struct{}, 1),
		log:              c.o.Log.With("data_centre", dataCentre),
		observed:         scope.Counter("endpoints_observed"),
		unobserved:       scope.Counter("endpoints_not_observed"),
		ordered:          scope.Counter("endpoint_orders"),
		unknownOutcomes:  scope.Counter("endpoint_orders_unknown"),
		unavailablePools: scope.Gauge("endpoint_pools_out"),
	}
}

// requestObservation triggers an observation if this instance has to make one
// and none is pending. It leaves the worker asleep in all other cases.
func (s *dcWorker) requestObservation() {
	if _, due := s.observationDue(s.epoch()); due {
		notify(s.observeNow)
	}
}

// requestOrders triggers the due orders if this instance holds the duty.
func (s *dcWorker) requestOrders() {
	if s.epoch() > 0 {
		notify(s.ordersNow)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (s *dcWorker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.observeNow:
			s.observe(ctx)
		case <-s.ordersNow:
		}
		s.sendDueOrders(ctx)
	}
}

// observe lists the running endpoints if an observation is due. A failure
// changes nothing: missing data does not mean that there are no endpoints.
func (s *dcWorker) observe(ctx context.Context) {
	epoch := s.epoch()
	mark, due := s.observationDue(epoch)
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
	s.applyObservation(mark, epoch, list)
	s.machine.Step(s.c.o.Clock.Now(), order.Observed{Started: started, Counts: liveCounts(list)})
}

// epoch returns the epoch of the lease, or 0 while it is not held.
func (s *dcWorker) epoch() uint64 {
	term, err := s.duty.Guard().Term()
	if err != nil {
		return 0
	}
	return term.Epoch
}

// observationDue reports whether to observe now, and returns the mark to pass to
// Watch.Observed.
func (s *dcWorker) observationDue(epoch uint64) (mark uint64, due bool) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return s.watch.ObservationMark(), s.watch.ObservationDue(s.c.o.Clock.Now(), epoch > 0)
}

// applyObservation publishes an observation. The holder sends changes, such as a
// reclaim notice, to the other instances at once. It also sends the first
// observation of its term at once, since the list expires at the other instances
// without a report.
func (s *dcWorker) applyObservation(mark, epoch uint64, list []infra.RunningEndpoint) {
	s.c.mu.Lock()
	first := epoch > s.watch.epoch
	changed := s.watch.ApplyObservation(s.c.o.Clock.Now(), mark, epoch, list)
	if changed || first {
		s.c.publish()
	}
	s.c.mu.Unlock()
	if (changed || first) && epoch > 0 {
		s.c.o.NotifyPeers()
	}
}

// sendDueOrders sends the orders that are due if this instance holds the duty.
func (s *dcWorker) sendDueOrders(ctx context.Context) {
	term, err := s.duty.Guard().Term()
	if err != nil {
		return
	}
	if s.machine.Epoch() != term.Epoch {
		s.machine.Begin(term.Epoch)
		clear(s.planners)
		read, cancel := context.WithTimeout(ctx, s.c.o.Poll)
		s.c.readOrders(read)
		cancel()
	}
	s.c.heldAt.Store(int64(s.c.o.Clock.Now()))
	planned := s.setDesired()
	for range maxSteps {
		planned = planned || s.setDesired()
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

func (s *dcWorker) do(ctx context.Context, a order.Action) order.Event {
	switch a := a.(type) {
	case order.Write:
		return order.WriteDone{Outcome: leases.EffectOf(s.write(ctx, a))}
	case order.Send:
		return order.SendDone{Outcome: s.send(ctx, a)}
	default:
		return s.load(ctx)
	}
}

func (s *dcWorker) send(ctx context.Context, a order.Send) effect.Outcome {
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
	s.assertNoLaterHolder(o, err)
	s.log.Info("endpoint order", "id", o.ID, "count", o.Count, "epoch", o.Epoch, "error", err)
	s.ordered.Inc(1)
	if !infra.OutcomeKnown(err) && !errors.Is(err, lease.ErrNotHeld) {
		s.unknownOutcomes.Inc(1)
	}
	return leases.EffectOf(err)
}

// assertNoLaterHolder asserts that no order of a later epoch was sent while this
// instance still holds the lease.
func (s *dcWorker) assertNoLaterHolder(o infra.EndpointOrder, err error) {
	stale := errors.Is(err, infra.ErrStaleEpoch) && s.duty.Guard().Check(o.Epoch) == nil
	invariant.Check(invariant.OneOrderer, !stale,
		"order %s of epoch %d refused as stale while the lease is held", o.ID, o.Epoch)
}
