package weights

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/lease"
	"github.com/cumincove/cumincove/view"
	"github.com/cumincove/cumincove/weights"
)

const (
	// targetReadPeriod is the time between two reads of a service's desired
	// version.
	targetReadPeriod = 500 * time.Millisecond
	// minLocalReplicas is the number of replicas from which a data centre plans
	// only with its own replicas. Half of its own replicas are never more than
	// half of all, whatever other data centres do, and no instance has to query
	// the replicas of all data centres.
	minLocalReplicas = 8
	// reportRefreshAge is the age of a report after which a replica that is up to
	// date is queried again.
	reportRefreshAge = weights.DefaultMaxReportAge / 2
)

// dcWorker swaps the replicas of one data centre.
type dcWorker struct {
	o          Options
	dataCentre string
	duty       Duty
	log        *slog.Logger
	// syncNow triggers a sync.
	syncNow chan struct{}
	// epoch is the epoch of the lease under which the services below were added.
	epoch    uint64
	services map[string]*swap
}

// swap is the swap state of one service.
type swap struct {
	machine        *weights.Machine
	desiredVersion uint64
	targetReadAt   time.Duration
	// reports has the last report of each replica, by name.
	reports map[string]weights.Replica
}

func newDCWorker(o Options, dataCentre string) *dcWorker {
	return &dcWorker{
		o:          o,
		dataCentre: dataCentre,
		duty:       o.Duty(dataCentre),
		log:        o.Log.With("data_centre", dataCentre),
		syncNow:    make(chan struct{}, 1),
		services:   map[string]*swap{},
	}
}

// requestSync triggers a sync if this instance holds the duty and none is
// pending. Without the duty it leaves the worker asleep.
func (w *dcWorker) requestSync() {
	if _, err := w.duty.Guard().Term(); err != nil {
		return
	}
	select {
	case w.syncNow <- struct{}{}:
	default:
	}
}

func (w *dcWorker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.syncNow:
			w.sync(ctx)
		}
	}
}

// sync updates every service once if this instance holds the duty. A new term
// starts with empty state: the reports of the replicas show what was ordered.
func (w *dcWorker) sync(ctx context.Context) {
	term, err := w.duty.Guard().Term()
	if err != nil {
		return
	}
	if term.Epoch != w.epoch {
		w.epoch = term.Epoch
		clear(w.services)
	}
	v := w.o.Views.Load()
	for _, name := range engineServices(v) {
		w.syncService(ctx, name, v.Endpoints[name])
	}
}

func (w *dcWorker) syncService(ctx context.Context, name string, list []*view.Endpoint) {
	sw := w.services[name]
	if sw == nil {
		sw = w.newSwap()
		w.services[name] = sw
	}
	if !w.readTarget(ctx, name, sw) {
		return
	}
	list = planReplicas(list, w.dataCentre)
	w.updateReports(ctx, sw, list)
	replicas := sw.replicas(list)
	orders := sw.machine.Tick(w.o.Clock.Now(), sw.desiredVersion, replicas)
	w.sendOrders(ctx, sw, list, orders)
	behind := sw.machine.Behind(replicas)
	w.o.Scope.Tagged(map[string]string{"service": name, "data_centre": w.dataCentre}).
		Gauge("weights_behind").Update(float64(len(behind)))
}

// planReplicas returns the replicas that the plan of a data centre includes.
func planReplicas(list []*view.Endpoint, local string) []*view.Endpoint {
	var own []*view.Endpoint
	for _, e := range list {
		if e.DataCentre == local {
			own = append(own, e)
		}
	}
	if len(own) >= minLocalReplicas {
		return own
	}
	return list
}

func (w *dcWorker) newSwap() *swap {
	return &swap{
		machine: weights.New(weights.Config{
			LocalDataCentre: w.dataCentre,
			MaxLoads:        weights.DefaultMaxLoads,
			TargetTime:      weights.DefaultTargetTime,
			MaxReportAge:    weights.DefaultMaxReportAge,
			MinTimeBehind:   weights.DefaultMinTimeBehind,
			Settle:          weights.DefaultSettle,
			LoadTimeout:     weights.DefaultLoadTimeout,
		}),
		reports: map[string]weights.Replica{},
	}
}

// readTarget reads the desired version once per targetReadPeriod. It returns
// false if no published version has been read yet.
func (w *dcWorker) readTarget(ctx context.Context, name string, sw *swap) bool {
	now := w.o.Clock.Now()
	if sw.targetReadAt != 0 && now < sw.targetReadAt+targetReadPeriod {
		return sw.desiredVersion != 0
	}
	v, err := w.o.Targets.NewestVersion(ctx, name)
	if err != nil {
		w.log.Debug("desired weight version not read", "service", name, "error", err)
		return sw.desiredVersion != 0
	}
	sw.targetReadAt = now
	sw.desiredVersion = max(sw.desiredVersion, v)
	return sw.desiredVersion != 0
}

// updateReports adds the reports in the snapshot. While some replicas are not up
// to date, it also queries replicas directly.
func (w *dcWorker) updateReports(ctx context.Context, sw *swap, list []*view.Endpoint) {
	behind := false
	for _, e := range list {
		sw.addReport(e, e.Load, e.LoadAt)
		behind = behind || (!e.Leaving && sw.reports[e.Name].Version < sw.desiredVersion)
	}
	if !behind {
		return
	}
	w.queryReplicas(ctx, sw, sw.replicasToQuery(list, w.o.Clock.Now()))
}

// queryReplicas requests reports from all listed replicas concurrently.
func (w *dcWorker) queryReplicas(ctx context.Context, sw *swap, list []*view.Endpoint) {
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	for _, e := range list {
		wg.Go(func() {
			at := w.o.Clock.Now()
			ctx, cancel := context.WithTimeout(ctx, w.o.Poll)
			defer cancel()
			l, err := w.o.Engine.Load(ctx, e.Addr)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sw.addReport(e, l, at)
		})
	}
	wg.Wait()
}

// replicasToQuery returns the replicas without a recent report that they are up
// to date.
func (sw *swap) replicasToQuery(list []*view.Endpoint, now time.Duration) []*view.Endpoint {
	var all []*view.Endpoint
	for _, e := range list {
		if !sw.recentlyUpToDate(e, now) {
			all = append(all, e)
		}
	}
	return all
}

// recentlyUpToDate reports whether a replica is up to date according to a report
// younger than reportRefreshAge.
func (sw *swap) recentlyUpToDate(e *view.Endpoint, now time.Duration) bool {
	r, ok := sw.reports[e.Name]
	return ok && r.Version >= sw.desiredVersion && !r.Loading && now-r.ObservedAt < reportRefreshAge
}

// addReport stores a report unless a newer one is stored.
func (sw *swap) addReport(e *view.Endpoint, l engine.Load, at time.Duration) {
	if current, ok := sw.reports[e.Name]; at == 0 || (ok && current.ObservedAt > at) {
		return
	}
	sw.reports[e.Name] = weights.Replica{
		Name:       e.Name,
		DataCentre: e.DataCentre,
		Version:    l.WeightVersion,
		Loading:    l.Loading,
		ObservedAt: at,
	}
}

// replicas returns the last reports of the endpoints that are not leaving.
func (sw *swap) replicas(list []*view.Endpoint) []weights.Replica {
	var all []weights.Replica
	for _, e := range list {
		if r, ok := sw.reports[e.Name]; ok && !e.Leaving {
			all = append(all, r)
		}
	}
	return all
}

// sendOrders sends orders concurrently, each as an operation under the lease. If
// the outcome of an order is unknown, the next report of the replica shows it.
func (w *dcWorker) sendOrders(ctx context.Context, sw *swap, list []*view.Endpoint, orders []weights.Order) {
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	for _, o := range orders {
		wg.Go(func() {
			err := w.sendOrder(ctx, addrOf(list, o.Replica), o)
			w.log.Info("weights ordered", "replica", o.Replica, "version", o.Version, "order", o.ID, "error", err)
			w.o.Scope.Counter("weights_orders").Inc(1)
			if notExecuted(err) {
				mu.Lock()
				defer mu.Unlock()
				sw.machine.OrderNotSent(w.o.Clock.Now(), o)
			}
		})
	}
	wg.Wait()
}

func (w *dcWorker) sendOrder(ctx context.Context, addr string, o weights.Order) error {
	return w.duty.Do(ctx, func(ctx context.Context, epoch uint64) error {
		return w.o.Engine.Order(ctx, addr, engine.Order{
			ID:      o.ID,
			Kind:    engine.OrderLoad,
			Version: o.Version,
			Epoch:   epoch,
		})
	})
}

// notExecuted reports whether an order that returned err is certain not to have
// been executed.
func notExecuted(err error) bool {
	return errors.Is(err, engine.ErrNotRun) || errors.Is(err, infra.ErrStaleEpoch) ||
		errors.Is(err, lease.ErrNotHeld)
}

func addrOf(list []*view.Endpoint, name string) string {
	for _, e := range list {
		if e.Name == name {
			return e.Addr
		}
	}
	return ""
}
