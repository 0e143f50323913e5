package daemon

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/intent"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/controller/models"
	"github.com/cumincove/cumincove/controller/presence"
	"github.com/cumincove/cumincove/controller/scaling"
	"github.com/cumincove/cumincove/controller/steps"
	"github.com/cumincove/cumincove/controller/suspects"
	"github.com/cumincove/cumincove/controller/usage"
	"github.com/cumincove/cumincove/controller/use"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/settings"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// Adapter translates between a managed platform's callers and this program.
type Adapter interface {
	// Dialect is how endpoints are spoken to.
	Dialect() attempt.Dialect
	// Prepare adds to the header of an attempt that may take a time.
	Prepare(r *filter.Request, endpoint *view.Endpoint, left time.Duration, h http.Header)
	// Arrive reads a request's ID and how long its caller waits.
	Arrive(r *http.Request) (id string, wait time.Duration)
	// Refuse answers a request that failed.
	Refuse(w http.ResponseWriter, r *filter.Request, err error)
	// Callers serves callers and trainers, Readiness the platform's checks, and
	// Entries those who ask which addresses to use.
	Callers(s System) http.Handler
	Readiness(s System) http.Handler
	Entries(s System) http.Handler
}

// System is what an Adapter works with.
type System struct {
	// Requests serves requests by route; those for rollout routes go to
	// Submit.
	Requests func(submit filter.HandlerFunc) http.Handler
	// Keyed serves a call of the system's own that needs a key.
	Keyed func(h filter.HandlerFunc) http.Handler
	Steps *steps.Controller
	// Ready reports whether this instance takes callers.
	Ready func() bool
	// Addresses lists up to a number of callers' addresses of instances, best
	// first for a caller in a data centre.
	Addresses func(dataCentre string, most int) []string
	// Keep is how long callers may keep them.
	Keep time.Duration
}

// ManagedDeps is what a Managed gets from the outside.
type ManagedDeps struct {
	Settings settings.Settings
	Platform infra.Managed
	Adapter  Adapter
	Clock    clock.Clock
	Log      *slog.Logger
	Scope    tally.Scope
	// Metrics serves the metrics of Scope.
	Metrics http.Handler
	Network Network
	// Pool carries attempts at endpoints.
	Pool *attempt.Pool
	// TLS is how connections are encrypted.
	TLS TLS
}

// Managed is one instance on a managed platform.
type Managed struct {
	d     ManagedDeps
	views *view.Store

	intent   *intent.Controller
	presence *presence.Controller
	keeper   *leases.Keeper
	models   *models.Controller
	scaling  *scaling.Controller
	steps    *steps.Controller
	usage    *usage.Controller

	dispatcher  *dispatch.Dispatcher
	revocations *filter.Revocations
	suspects    *filter.Suspects
	losses      *suspects.Rows

	incarnation uint64
	leaving     atomic.Bool
	draining    atomic.Bool
	inFlight    atomic.Int64
	entryCount  atomic.Uint64
}

// NewManaged builds an instance. Nothing runs before Run.
func NewManaged(deps ManagedDeps) *Managed {
	m := &Managed{d: deps, views: view.NewStore(), incarnation: uint64(time.Now().UnixNano())}
	s := deps.Settings
	m.intent = intent.New(intent.Options{
		Operator: deps.Platform.Operator, Replicas: deps.Platform.Replicas,
		Views: m.views, Clock: deps.Clock, Log: deps.Log, Scope: deps.Scope,
		Poll: time.Duration(s.Timing.StorePoll), Freshness: time.Duration(s.Timing.Freshness),
		Regained: func() { m.presence.Urge() },
	})
	m.newRequestParts()
	m.presence = presence.New(presence.Options{
		Rows: deps.Platform.Members, Views: m.views, Clock: deps.Clock, Log: deps.Log, Scope: deps.Scope,
		Self: view.Member{
			Name: s.Name, Incarnation: m.incarnation, DataCentre: s.DataCentre,
			PeerAddr: cmp.Or(s.Listen.AdvertisePeers, s.Listen.Peers), CallerAddr: s.Listen.Callers, Size: s.Limits.ProcessorShare,
		},
		Period: time.Duration(s.Timing.MemberPeriod), Lapse: time.Duration(s.Timing.MemberLapse),
		InFlight: func() int { return int(m.inFlight.Load()) }, Leaving: m.leaving.Load,
		Use:    &use.Controller{Queues: m.dispatcher},
		Follow: m.losses.Follow,
	})
	m.keeper = leases.NewKeeper(leases.Options{
		Tables: deps.Platform.Own, Clock: deps.Clock, Holder: s.Name, Incarnation: m.incarnation,
		Duration: time.Duration(s.Timing.LeaseDuration), TakeBack: true, Log: deps.Log, Metrics: deps.Scope,
	}, m.views)
	m.models = models.New(models.Options{
		Engines: deps.Platform.Engines, Keeper: m.keeper, Views: m.views, Clock: deps.Clock,
		Log: deps.Log, Scope: deps.Scope, Holder: s.Name,
		Demand:        func(ctx context.Context) (map[string]float64, error) { return m.steps.Demand(ctx) },
		ReadEndpoints: m.intent.ReadEndpoints, Named: m.intent.Weights, SingleVersion: singleVersion,
	})
	m.scaling = scaling.New(scaling.Options{
		Scaler: deps.Platform.Scaler, Keeper: m.keeper,
		Views: m.views, Clock: deps.Clock, Log: deps.Log, Scope: deps.Scope, Holder: s.Name,
		Fresh: func() bool { return m.intent.Fresh(deps.Clock.Now()) },
	})
	m.usage = usage.New(usage.Options{
		Reports: deps.Platform.Usage, Keeper: m.keeper,
		Holder: s.Name, Incarnation: m.incarnation, Log: deps.Log, Metrics: deps.Scope,
		Window: time.Duration(s.Timing.UsageWindow), Flush: time.Duration(s.Timing.UsageFlush),
		Grace: time.Duration(s.Timing.UsageGrace), Steady: m.intent.Steady,
	})
	m.steps = steps.New(steps.Options{
		Steps: deps.Platform.Steps, Shared: deps.Platform.Own.Part(sharedPart), Engines: deps.Platform.Engines, Score: m.score(),
		Warm:  m.d.Pool.Warm,
		Hand:  steps.ByModel{Peers: m.peerClient()},
		Views: m.views, Clock: deps.Clock, Log: deps.Log, Scope: deps.Scope,
		Self: s.Name, Incarnation: m.incarnation, Synced: m.presence.Synced,
		Away: m.away,
	})
	return m
}

// awayAfter is the time without an answer of the store after which an instance
// counts as cut off from it.
const awayAfter = 1200 * time.Millisecond

// away reports whether the store has not answered this instance for a while.
func (m *Managed) away() bool {
	age, known := m.intent.Age(m.d.Clock.Now())
	return !known || age > awayAfter
}

// sharedPart is the part of the own rows that tells what steps ask for.
const sharedPart = "demand"

// singleVersion reports whether any rollout route takes samples of one version
// only. Routes don't name their models.
func singleVersion(v *view.View) bool {
	for _, r := range v.Config.Routes {
		if r.SingleVersion {
			return true
		}
	}
	return false
}

func (m *Managed) newRequestParts() {
	m.dispatcher = dispatch.New(dispatch.Options{
		Views: m.views, Clock: m.d.Clock, Log: m.d.Log, Scope: m.d.Scope,
		DataCentre: m.d.Settings.DataCentre,
		Queue:      fairqueue.DefaultOptions(), Limit: limit.DefaultOptions(),
		Warm: m.d.Pool.Warm,
	})
	m.revocations = filter.NewRevocations(filter.RevocationsOptions{
		Views: m.views, Freshness: m.intent, Clock: m.d.Clock,
	})
	m.newSuspects()
	m.d.Pool.OnLeaving(m.leaves)
}

// leaves notes an endpoint that says in its answers that it leaves. Its entry may
// say so later, or never.
func (m *Managed) leaves(endpoint string) {
	e, ok := m.views.Load().EndpointByName(endpoint)
	if !ok || e.Leaving {
		return
	}
	m.views.Update(func(v *view.View) { v.SetLeaving(endpoint) })
	m.d.Scope.Counter("endpoints_said_leaving").Inc(1)
	m.d.Log.Info("endpoint says that it leaves", "endpoint", endpoint, "incarnation", e.Incarnation)
}

// newSuspects builds what knows, and tells others, of requests that crash
// endpoints.
func (m *Managed) newSuspects() {
	instance := fmt.Sprintf("%s/%d", m.d.Settings.Name, m.incarnation)
	m.suspects = filter.NewSuspects(filter.SuspectsOptions{
		Name: m.d.Settings.Name, Instance: instance, Clock: m.d.Clock, Views: m.views, Log: m.d.Log, Scope: m.d.Scope,
	})
	m.losses = suspects.NewRows(suspects.RowsOptions{
		Tables: m.d.Platform.Members, Hearer: m.suspects, Views: m.views, Clock: m.d.Clock,
		Log: m.d.Log, Scope: m.d.Scope, Self: m.d.Settings.Name, Instance: instance,
	})
	m.suspects.Tell = m.losses.Tell
	m.suspects.Retract = m.losses.Retract
}

func (m *Managed) runners() []runner {
	return []runner{
		m.intent,
		m.presence,
		m.keeper,
		m.models,
		m.scaling,
		m.steps,
		m.usage,
		m.dispatcher,
		m.d.Pool,
		m.revocations,
		m.suspects,
		m.losses,
		gauges{m},
	}
}

// Run serves until ctx ends, then shuts down gracefully. It returns an error
// if a listener can't be opened.
func (m *Managed) Run(ctx context.Context) error {
	servers, err := m.listen()
	if err != nil {
		return err
	}
	m.d.Log.Info("started", "incarnation", m.incarnation, "callers", m.d.Settings.Listen.Callers)
	err = runUntil(ctx, m.runners(), servers, func(failed context.Context) { m.shutdown(failed, servers) })
	m.d.Log.Info("stopped", "error", err)
	return err
}

// shutdown withholds this instance from callers, gives its steps away, and
// finishes what callers still send, all within the time for a shutdown. While the
// store is down, steps can't be given away: they are kept to the end of that time,
// as what was not saved would be lost.
func (m *Managed) shutdown(failed context.Context, servers []*server) {
	began := m.d.Clock.Now()
	m.leaving.Store(true)
	m.d.Log.Info("leaving", "in_flight", m.inFlight.Load(), "steps", m.steps.Open())
	m.presence.Urge()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(m.d.Settings.Timing.Shutdown))
	defer cancel()
	var handOver sync.WaitGroup
	defer handOver.Wait()
	handOver.Go(func() { m.steps.HandOver(ctx) })
	linger := time.NewTimer(time.Duration(m.d.Settings.Timing.EntriesKeep) + leaveMargin - (m.d.Clock.Now() - began))
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-failed.Done():
	}
	m.draining.Store(true)
	for _, s := range servers {
		if err := s.stop(ctx); err != nil {
			m.d.Log.Warn("shutdown cut connections", "listener", s.name, "error", err)
			s.http.Close()
		}
	}
}

// score returns the function that calls a scoring service by its route.
func (m *Managed) score() steps.ScoreFunc {
	sc := scorer{
		views: m.views, clock: m.d.Clock, log: m.d.Log, stamp: m.d.Adapter.Dialect().StampHeader,
		chain: filter.Chain(m.attempt(), filter.Route{Inner: true}),
	}
	return sc.score
}
