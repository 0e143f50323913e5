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
	"github.com/google/uuid"
)

const (
	// targetPeriod is the time between two reads of a service's wanted version.
	targetPeriod = 500 * time.Millisecond
	// planAlone is the number of replicas from which a data centre plans for
	// itself: half of its own are within half of all, whatever others do, and
	// nobody has to ask all replicas of all data centres.
	planAlone = 8
	// askAgain is the age of a report after which a replica that is up to date
	// is asked again.
	askAgain = weights.DefaultSeenWithin / 2
)

// site is the work for one data centre.
type site struct {
	o          Options
	dataCentre string
	duty       Duty
	log        *slog.Logger
	// turns tells run to look.
	turns chan struct{}
	// epoch is that of the lease under which the services below were begun.
	epoch    uint64
	services map[string]*swap
}

// swap is the state of one service.
type swap struct {
	machine *weights.Machine
	want    uint64
	readAt  time.Duration
	// reports are the last reports by the names of replicas.
	reports map[string]weights.Replica
}

func newSite(o Options, dataCentre string) *site {
	return &site{
		o:          o,
		dataCentre: dataCentre,
		duty:       o.Duty(dataCentre),
		log:        o.Log.With("data_centre", dataCentre),
		turns:      make(chan struct{}, 1),
		services:   map[string]*swap{},
	}
}

// turn begins a look, if this instance holds the duty and none is under way.
// Without the duty nothing has to wake up.
func (s *site) turn() {
	if _, err := s.duty.Guard().Term(); err != nil {
		return
	}
	select {
	case s.turns <- struct{}{}:
	default:
	}
}

func (s *site) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.turns:
			s.sync(ctx)
		}
	}
}

// sync looks at every service once, if this instance holds the duty. A new
// term begins without a memory: what replicas report tells what was ordered.
func (s *site) sync(ctx context.Context) {
	term, err := s.duty.Guard().Term()
	if err != nil {
		return
	}
	if term.Epoch != s.epoch {
		s.epoch = term.Epoch
		clear(s.services)
	}
	v := s.o.Views.Load()
	for _, name := range engineServices(v) {
		s.service(ctx, name, v.Endpoints[name])
	}
}

func (s *site) service(ctx context.Context, name string, list []*view.Endpoint) {
	sw := s.services[name]
	if sw == nil {
		sw = s.newSwap()
		s.services[name] = sw
	}
	if !s.readTarget(ctx, name, sw) {
		return
	}
	list = watched(list, s.dataCentre)
	s.read(ctx, sw, list)
	replicas := sw.replicas(list)
	orders := sw.machine.Tick(s.o.Clock.Now(), sw.want, replicas)
	s.send(ctx, sw, list, orders)
	behind := sw.machine.Behind(replicas)
	s.o.Scope.Tagged(map[string]string{"service": name, "data_centre": s.dataCentre}).
		Gauge("weights_behind").Update(float64(len(behind)))
}

// watched returns the replicas that a data centre's plan looks at.
func watched(list []*view.Endpoint, home string) []*view.Endpoint {
	var own []*view.Endpoint
	for _, e := range list {
		if e.DataCentre == home {
			own = append(own, e)
		}
	}
	if len(own) >= planAlone {
		return own
	}
	return list
}

func (s *site) newSwap() *swap {
	return &swap{
		machine: weights.New(weights.Config{
			Home:        s.dataCentre,
			Loads:       weights.DefaultLoads,
			Within:      weights.DefaultWithin,
			SeenWithin:  weights.DefaultSeenWithin,
			Notice:      weights.DefaultNotice,
			Settle:      weights.DefaultSettle,
			LoadTimeout: weights.DefaultLoadTimeout,
		}),
		reports: map[string]weights.Replica{},
	}
}

// readTarget reads the wanted version now and then. It returns false if no
// version was ever published or read.
func (s *site) readTarget(ctx context.Context, name string, sw *swap) bool {
	now := s.o.Clock.Now()
	if sw.readAt != 0 && now < sw.readAt+targetPeriod {
		return sw.want != 0
	}
	v, err := s.o.Targets.Newest(ctx, name)
	if err != nil {
		s.log.Debug("wanted weight version not read", "service", name, "error", err)
		return sw.want != 0
	}
	sw.readAt = now
	sw.want = max(sw.want, v)
	return sw.want != 0
}

// read takes the reports of the snapshot while all replicas are up to date, and
// asks the replicas themselves while some are not.
func (s *site) read(ctx context.Context, sw *swap, list []*view.Endpoint) {
	behind := false
	for _, e := range list {
		sw.note(e, e.Load, e.LoadAt)
		behind = behind || (!e.Leaving && sw.reports[e.Name].Version < sw.want)
	}
	if !behind {
		return
	}
	s.ask(ctx, sw, sw.unsettled(list, s.o.Clock.Now()))
}

// ask takes the reports of replicas from themselves, from all at once.
func (s *site) ask(ctx context.Context, sw *swap, list []*view.Endpoint) {
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	for _, e := range list {
		wg.Go(func() {
			at := s.o.Clock.Now()
			ctx, cancel := context.WithTimeout(ctx, s.o.Poll)
			defer cancel()
			l, err := s.o.Engine.Load(ctx, e.Addr, uuid.NewString())
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sw.note(e, l, at)
		})
	}
	wg.Wait()
}

// unsettled returns the replicas to ask.
func (sw *swap) unsettled(list []*view.Endpoint, now time.Duration) []*view.Endpoint {
	var all []*view.Endpoint
	for _, e := range list {
		if !sw.settled(e, now) {
			all = append(all, e)
		}
	}
	return all
}

// settled reports whether a replica was up to date a short time ago.
func (sw *swap) settled(e *view.Endpoint, now time.Duration) bool {
	r, ok := sw.reports[e.Name]
	return ok && r.Version >= sw.want && !r.Loading && now-r.SeenAt < askAgain
}

// note keeps the newer of two reports.
func (sw *swap) note(e *view.Endpoint, l engine.Load, at time.Duration) {
	if have, ok := sw.reports[e.Name]; at == 0 || (ok && have.SeenAt > at) {
		return
	}
	sw.reports[e.Name] = weights.Replica{
		Name:       e.Name,
		DataCentre: e.DataCentre,
		Version:    l.WeightVersion,
		Loading:    l.Loading,
		SeenAt:     at,
	}
}

// replicas returns the last reports of the endpoints that stay.
func (sw *swap) replicas(list []*view.Endpoint) []weights.Replica {
	var all []weights.Replica
	for _, e := range list {
		if r, ok := sw.reports[e.Name]; ok && !e.Leaving {
			all = append(all, r)
		}
	}
	return all
}

// send gives orders, each as an act under the lease. An order whose outcome is
// not known is left to the next report.
func (s *site) send(ctx context.Context, sw *swap, list []*view.Endpoint, orders []weights.Order) {
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	for _, o := range orders {
		wg.Go(func() {
			err := s.order(ctx, addrOf(list, o.Replica), o)
			s.log.Info("weights ordered", "replica", o.Replica, "version", o.Version, "order", o.ID, "error", err)
			s.o.Scope.Counter("weights_orders").Inc(1)
			if notSent(err) {
				mu.Lock()
				defer mu.Unlock()
				sw.machine.NotSent(s.o.Clock.Now(), o)
			}
		})
	}
	wg.Wait()
}

func (s *site) order(ctx context.Context, addr string, o weights.Order) error {
	return s.duty.Do(ctx, func(ctx context.Context, epoch uint64) error {
		return s.o.Engine.Order(ctx, addr, engine.Order{
			ID:      o.ID,
			Kind:    engine.OrderLoad,
			Version: o.Version,
			Epoch:   epoch,
		})
	})
}

func notSent(err error) bool {
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
