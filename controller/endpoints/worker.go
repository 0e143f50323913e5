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

// maxSteps bounds the rounds of actions in one call of sendDueOrders, so that the
// worker can observe again between two calls.
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
func (w *dcWorker) requestObservation() {
	if _, due := w.observationDue(w.epoch()); due {
		notify(w.observeNow)
	}
}

// requestOrders triggers the due orders if this instance holds the duty.
func (w *dcWorker) requestOrders() {
	if w.epoch() > 0 {
		notify(w.ordersNow)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (w *dcWorker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.observeNow:
			w.observe(ctx)
		case <-w.ordersNow:
		}
		w.sendDueOrders(ctx)
	}
}

// observe lists the running endpoints if an observation is due. A failure
// changes nothing: missing data does not mean that there are no endpoints.
func (w *dcWorker) observe(ctx context.Context) {
	epoch := w.epoch()
	mark, due := w.observationDue(epoch)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.c.o.Poll)
	defer cancel()
	started := w.c.o.Clock.Now()
	w.observed.Inc(1)
	list, err := w.c.o.Endpoints.Observe(ctx, w.dataCentre)
	if err != nil {
		w.unobserved.Inc(1)
		w.log.Debug("endpoints not observed", "error", err)
		return
	}
	if w.epoch() != epoch {
		epoch = 0
	}
	w.applyObservation(mark, epoch, list)
	w.machine.Step(w.c.o.Clock.Now(), order.Observed{Started: started, Counts: liveCounts(list)})
}

// epoch returns the epoch of the lease, or 0 while it is not held.
func (w *dcWorker) epoch() uint64 {
	term, err := w.duty.Guard().Term()
	if err != nil {
		return 0
	}
	return term.Epoch
}

// observationDue reports whether to observe now, and returns the mark to pass to
// Watch.ApplyObservation.
func (w *dcWorker) observationDue(epoch uint64) (mark uint64, due bool) {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	return w.watch.ObservationMark(), w.watch.ObservationDue(w.c.o.Clock.Now(), epoch > 0)
}

// applyObservation publishes an observation. The holder sends changes, such as a
// reclaim notice, to the other instances at once. It also sends the first
// observation of its term at once, since the list expires at the other instances
// without a report.
func (w *dcWorker) applyObservation(mark, epoch uint64, list []infra.RunningEndpoint) {
	w.c.mu.Lock()
	first := epoch > w.watch.epoch
	changed := w.watch.ApplyObservation(w.c.o.Clock.Now(), mark, epoch, list)
	if changed || first {
		w.c.publish()
	}
	w.c.mu.Unlock()
	if (changed || first) && epoch > 0 {
		w.c.o.NotifyPeers()
	}
}

// sendDueOrders sends the orders that are due if this instance holds the duty.
func (w *dcWorker) sendDueOrders(ctx context.Context) {
	term, err := w.duty.Guard().Term()
	if err != nil {
		return
	}
	if w.machine.Epoch() != term.Epoch {
		w.machine.Begin(term.Epoch)
		clear(w.planners)
		read, cancel := context.WithTimeout(ctx, w.c.o.Poll)
		w.c.readOrders(read)
		cancel()
	}
	w.c.heldAt.Store(int64(w.c.o.Clock.Now()))
	planned := w.setDesired()
	for range maxSteps {
		planned = planned || w.setDesired()
		actions := w.machine.Tick(w.c.o.Clock.Now())
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			e := w.do(ctx, a)
			w.machine.Step(w.c.o.Clock.Now(), e)
		}
	}
}

func (w *dcWorker) do(ctx context.Context, a order.Action) order.Event {
	switch a := a.(type) {
	case order.Write:
		return order.WriteDone{Outcome: leases.EffectOf(w.write(ctx, a))}
	case order.Send:
		return order.SendDone{Outcome: w.send(ctx, a)}
	default:
		return w.load(ctx)
	}
}

func (w *dcWorker) send(ctx context.Context, a order.Send) effect.Outcome {
	o := infra.EndpointOrder{
		ID:         a.Intent.ID,
		DataCentre: w.dataCentre,
		Service:    a.Set.Service,
		Tier:       a.Set.Tier,
		Count:      a.Intent.Count,
		Epoch:      a.Intent.Epoch,
		Holder:     w.c.o.Holder,
	}
	err := w.duty.Do(ctx, func(ctx context.Context, epoch uint64) error {
		if epoch != o.Epoch {
			return lease.ErrNotHeld
		}
		return w.c.o.Endpoints.Order(ctx, o)
	})
	w.assertNoLaterHolder(o, err)
	w.log.Info("endpoint order", "id", o.ID, "count", o.Count, "epoch", o.Epoch, "error", err)
	w.ordered.Inc(1)
	if !infra.OutcomeKnown(err) && !errors.Is(err, lease.ErrNotHeld) {
		w.unknownOutcomes.Inc(1)
	}
	return leases.EffectOf(err)
}

// assertNoLaterHolder asserts that no order of a later epoch was sent while this
// instance still holds the lease.
func (w *dcWorker) assertNoLaterHolder(o infra.EndpointOrder, err error) {
	stale := errors.Is(err, infra.ErrStaleEpoch) && w.duty.Guard().Check(o.Epoch) == nil
	invariant.Check(invariant.OneOrderer, !stale,
		"order %s of epoch %d refused as stale while the lease is held", o.ID, o.Epoch)
}
