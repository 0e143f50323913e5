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
	"github.com/cumincove/cumincove/controller/ratelimits"
	"github.com/cumincove/cumincove/controller/scaling"
	"github.com/cumincove/cumincove/controller/speeds"
	"github.com/cumincove/cumincove/controller/steps"
	"github.com/cumincove/cumincove/controller/suspects"
	"github.com/cumincove/cumincove/controller/teamusage"
	"github.com/cumincove/cumincove/controller/usage"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/membudget"
	"github.com/cumincove/cumincove/settings"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// Adapter translates between the protocol of a managed platform's callers and
// this program.
type Adapter interface {
	// Dialect returns the protocol for requests to endpoints.
	Dialect() attempt.Dialect
	// SetAttemptHeader adds fields to h, the header of an attempt at the
	// endpoint. The argument left is the time that remains until the request's
	// deadline.
	SetAttemptHeader(r *filter.Request, endpoint *view.Endpoint, left time.Duration, h http.Header)
	// IDAndTimeout returns a request's ID and the time for which its caller
	// waits.
	IDAndTimeout(r *http.Request) (id string, wait time.Duration)
	// HandleError writes the response to a request that failed.
	HandleError(w http.ResponseWriter, r *filter.Request, err error)
	// Callers returns the handler for callers and trainers, Readiness the one for
	// the platform's readiness checks, and Entries the one for callers that query
	// which addresses to use.
	Callers(s System) http.Handler
	Readiness(s System) http.Handler
	Entries(s System) http.Handler
}

// System is the part of an instance that an Adapter uses.
type System struct {
	// Requests returns a handler that serves requests by route. It passes
	// requests for rollout routes to submit.
	Requests func(submit filter.HandlerFunc) http.Handler
	// StepRequests returns a handler for one of the system's own routes, at which
	// callers use their steps. The team of a request without a key is empty.
	StepRequests func(h filter.HandlerFunc) http.Handler
	Steps        *steps.Controller
	// Ready reports whether this instance accepts callers.
	Ready func() bool
	// Addresses returns up to limit addresses at which instances serve callers.
	// The best one for a caller in the data centre is first.
	Addresses func(dataCentre string, limit int) []string
	// KeepAddresses is how long callers may keep addresses.
	KeepAddresses time.Duration
	// Memory is the memory for answers that callers have not taken yet.
	Memory *membudget.Budget
}

// ManagedDeps are the dependencies of a Managed instance.
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
	// Pool sends attempts to endpoints.
	Pool *attempt.Pool
	// TLS encrypts connections; nil sources leave them unencrypted.
	TLS TLS
}

// Managed is one instance on a managed platform, whose operators write to the
// platform's store and whose endpoints register themselves there.
type Managed struct {
	deps  ManagedDeps
	views *view.Store

	intent       *intent.Controller
	presence     *presence.Controller
	leaseManager *leases.Manager
	models       *models.Controller
	scaling      *scaling.Controller
	steps        *steps.Controller
	usage        *usage.Controller

	dispatcher  *dispatch.Dispatcher
	revocations *filter.Revocations
	suspects    *filter.Suspects
	lossReports *suspects.Rows
	rateLimits  *ratelimits.Controller
	speeds      *speeds.Controller
	// peers is the client for calls to other instances.
	peers *http.Client

	// clientLimits and budget bound what clients use of this instance.
	clientLimits clientLimits
	budget       *membudget.Budget

	incarnation uint64
	leaving     atomic.Bool
	// leavingSince is the boot time at which the shutdown began.
	leavingSince atomic.Int64
	draining     atomic.Bool
	inFlight     atomic.Int64
	entryCount   atomic.Uint64
}

// NewManaged returns an instance. It starts no goroutine before Run.
func NewManaged(deps ManagedDeps) *Managed {
	m := &Managed{deps: deps, views: view.NewStore(), incarnation: uint64(time.Now().UnixNano())}
	s := deps.Settings
	m.clientLimits = newClientLimits(s.Limits, readProcessLimits())
	m.budget = newBudget(m.clientLimits)
	m.peers = m.peerClient()
	m.intent = intent.New(intent.Options{
		IntentSource: deps.Platform.IntentSource, Replicas: deps.Platform.Replicas,
		Views: m.views, Clock: deps.Clock, Log: deps.Log, Scope: deps.Scope,
		Poll: time.Duration(s.Timing.StorePoll), Freshness: time.Duration(s.Timing.Freshness),
		OnAvailable: func() { m.presence.WriteNow() },
		OnEndpoints: func(v *view.View) { m.rateLimits.HandleEndpoints(v) },
	})
	m.newRequestPath()
	m.presence = presence.New(presence.Options{
		Rows: deps.Platform.Members, Views: m.views, Clock: deps.Clock, Log: deps.Log, Scope: deps.Scope,
		Self: view.Member{
			Name: s.Name, Incarnation: m.incarnation, DataCentre: s.DataCentre,
			PeerAddr: cmp.Or(s.Listen.AdvertisePeers, s.Listen.Peers), CallerAddr: s.Listen.Callers, Size: s.Limits.ProcessorShare,
		},
		Period: time.Duration(s.Timing.MemberPeriod), Lapse: time.Duration(s.Timing.MemberLapse),
		InFlight: func() int { return int(m.inFlight.Load()) }, Leaving: m.leaving.Load,
		Steps:  func() map[string]uint64 { return m.steps.RunningSteps() },
		Usage:  &teamusage.Controller{Queues: m.dispatcher},
		Speeds: m.speeds,
		OnChanges: func(changes infra.Changes) {
			m.lossReports.HandleChanges(changes)
			m.rateLimits.HandleChanges(changes)
		},
		OnMembers: m.rateLimits.SetMembers,
	})
	m.leaseManager = leases.NewManager(leases.Options{
		Tables: deps.Platform.SystemTables, Clock: deps.Clock, Holder: s.Name, Incarnation: m.incarnation,
		Duration: time.Duration(s.Timing.LeaseDuration), AllowSelfTakeover: true, Log: deps.Log, Metrics: deps.Scope,
	}, m.views)
	m.models = models.New(models.Options{
		Engines: deps.Platform.Engines, Leases: m.leaseManager, Views: m.views, Clock: deps.Clock,
		Log: deps.Log, Scope: deps.Scope, Holder: s.Name,
		Demand:           func(ctx context.Context) (map[string]float64, error) { return m.steps.Demand(ctx) },
		RefreshEndpoints: m.intent.ReadEndpoints, NamedVersions: m.intent.WeightVersions, SingleVersion: singleVersion,
	})
	m.scaling = scaling.New(scaling.Options{
		Scaler: deps.Platform.Scaler, Leases: m.leaseManager,
		Views: m.views, Clock: deps.Clock, Log: deps.Log, Scope: deps.Scope, Holder: s.Name,
		Fresh: func() bool { return m.intent.Fresh(deps.Clock.Now()) },
	})
	m.usage = usage.New(usage.Options{
		Reports: deps.Platform.Usage, Leases: m.leaseManager,
		Holder: s.Name, Incarnation: m.incarnation, Log: deps.Log, Metrics: deps.Scope,
		Window: time.Duration(s.Timing.UsageWindow), Flush: time.Duration(s.Timing.UsageFlush),
		Grace: time.Duration(s.Timing.UsageGrace), StoreAvailableFor: m.intent.AvailableFor,
	})
	m.steps = steps.New(steps.Options{
		Steps: deps.Platform.Steps, Shared: deps.Platform.SystemTables.Part(demandPart), Engines: deps.Platform.Engines, Score: m.scoreFunc(),
		IdleConnections: m.deps.Pool.IdleConns, RateLimits: m.rateLimits, Speeds: m.speeds,
		Handoff: steps.HandoffByModel{Peers: m.peers},
		Views:   m.views, Clock: deps.Clock, Log: deps.Log, Scope: deps.Scope,
		Self: s.Name, Incarnation: m.incarnation, MembersSynced: m.presence.Synced,
		StoreUnavailable: m.storeUnavailable,
	})
	return m
}

// storeUnavailableAfter is the time without a response from the store after which
// the store counts as unavailable to this instance.
const storeUnavailableAfter = 1200 * time.Millisecond

// storeUnavailable reports whether this instance has had no response from the
// store for longer than storeUnavailableAfter.
func (m *Managed) storeUnavailable() bool {
	age, ok := m.intent.Age(m.deps.Clock.Now())
	return !ok || age > storeUnavailableAfter
}

// demandPart is the part of the system's own rows that contains the demand of
// steps.
const demandPart = "demand"

// singleVersion reports whether any rollout route accepts only samples of a
// single weight version. It applies to all models, because routes don't name
// theirs.
func singleVersion(v *view.View) bool {
	for _, r := range v.Config.Routes {
		if r.SingleVersion {
			return true
		}
	}
	return false
}

// newRequestPath creates the components that the filter chains use.
func (m *Managed) newRequestPath() {
	m.rateLimits = ratelimits.New(ratelimits.Options{
		Tables: m.deps.Platform.Members, Peers: m.peers, Views: m.views, Clock: m.deps.Clock,
		Log: m.deps.Log, Scope: m.deps.Scope, Self: m.deps.Settings.Name,
	})
	m.speeds = speeds.New(speeds.Options{Views: m.views, Clock: m.deps.Clock, Log: m.deps.Log, Scope: m.deps.Scope})
	m.dispatcher = dispatch.New(dispatch.Options{
		Views: m.views, Clock: m.deps.Clock, Log: m.deps.Log, Scope: m.deps.Scope,
		DataCentre: m.deps.Settings.DataCentre,
		Queue:      fairqueue.DefaultOptions(), Limit: limit.DefaultOptions(),
		IdleConnections: m.deps.Pool.IdleConns, RateLimits: m.rateLimits, Speeds: m.speeds,
	})
	m.revocations = filter.NewRevocations(filter.RevocationsOptions{
		Views: m.views, Freshness: m.intent, Clock: m.deps.Clock,
	})
	m.newSuspects()
	m.deps.Pool.SetBudget(m.budget)
	m.deps.Pool.OnLeaving(m.markEndpointLeaving)
	m.deps.Pool.OnRateLimit(m.rateLimits.HandleAnswer)
	m.deps.Pool.OnSend(m.rateLimits.HandleSend)
}

// markEndpointLeaving marks an endpoint as leaving because one of its responses
// states that it is. The platform's entry for the endpoint may state so later or
// never.
func (m *Managed) markEndpointLeaving(endpoint string) {
	e, ok := m.views.Load().EndpointByName(endpoint)
	if !ok || e.Leaving {
		return
	}
	m.views.Update(func(v *view.View) { v.SetLeaving(endpoint) })
	m.deps.Scope.Counter("endpoints_said_leaving").Inc(1)
	m.deps.Log.Info("endpoint reports that it is leaving", "endpoint", endpoint, "incarnation", e.Incarnation)
}

// newSuspects creates the components that detect requests that crash endpoints
// and report them to the other instances.
func (m *Managed) newSuspects() {
	instance := fmt.Sprintf("%s/%d", m.deps.Settings.Name, m.incarnation)
	m.suspects = filter.NewSuspects(filter.SuspectsOptions{
		Name: m.deps.Settings.Name, Instance: instance, Clock: m.deps.Clock, Views: m.views, Log: m.deps.Log, Scope: m.deps.Scope,
	})
	m.lossReports = suspects.NewRows(suspects.RowsOptions{
		Tables: m.deps.Platform.Members, Receiver: m.suspects, Views: m.views, Clock: m.deps.Clock,
		Log: m.deps.Log, Scope: m.deps.Scope, Self: m.deps.Settings.Name, IDPrefix: instance,
	})
	m.suspects.ReportLoss = m.lossReports.Report
	m.suspects.RetractLosses = m.lossReports.Retract
}

// runners returns the loops of the instance.
func (m *Managed) runners() []runner {
	return []runner{
		m.intent,
		m.presence,
		m.leaseManager,
		m.models,
		m.scaling,
		m.steps,
		m.usage,
		m.dispatcher,
		m.deps.Pool,
		m.revocations,
		m.suspects,
		m.lossReports,
		m.rateLimits,
		m.speeds,
		gauges{m},
	}
}

// Run serves until ctx ends, then shuts down gracefully. It returns an error if a
// listener can't be opened or if a loop or a server fails.
func (m *Managed) Run(ctx context.Context) error {
	m.clientLimits.logTo(m.deps.Log)
	servers, err := m.listen()
	if err != nil {
		return err
	}
	m.deps.Log.Info("started", "incarnation", m.incarnation, "callers", m.deps.Settings.Listen.Callers)
	err = runUntil(ctx, m.runners(), servers, func(failed context.Context) { m.shutdown(failed, servers) })
	m.deps.Log.Info("stopped", "error", err)
	return err
}

// shutdown removes this instance from the entries that callers get, hands off its
// steps, and serves the requests that callers still send, all within the time for
// a shutdown. Steps can't be handed off while the store is down. They are then
// kept to the end of that time, because samples that are not saved would be lost.
func (m *Managed) shutdown(failed context.Context, servers []*server) {
	started := m.deps.Clock.Now()
	m.leavingSince.Store(int64(started))
	m.leaving.Store(true)
	m.deps.Log.Info("leaving", "in_flight", m.inFlight.Load(), "steps", m.steps.OpenSteps())
	m.presence.WriteNow()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(m.deps.Settings.Timing.Shutdown))
	defer cancel()
	var handOff sync.WaitGroup
	defer handOff.Wait()
	handOff.Go(func() { m.steps.HandOff(ctx) })
	time.AfterFunc(time.Duration(m.deps.Settings.Timing.EntriesKeep), func() {
		at, _ := m.endBy()
		m.dispatcher.Stop(at)
	})
	expiry := time.NewTimer(time.Duration(m.deps.Settings.Timing.EntriesKeep) + leaveMargin - (m.deps.Clock.Now() - started))
	defer expiry.Stop()
	select {
	case <-expiry.C:
	case <-failed.Done():
	}
	m.draining.Store(true)
	for _, s := range servers {
		if err := s.stop(ctx); err != nil {
			m.deps.Log.Warn("shutdown cut connections", "listener", s.name, "error", err)
			s.http.Close()
		}
	}
}

// endBy returns the boot time by which requests must end because of a shutdown, which
// then ends those that still run. Ok is false while callers may still use this instance's
// address.
func (m *Managed) endBy() (at time.Duration, ok bool) {
	if !m.leaving.Load() {
		return 0, false
	}
	timing, since := m.deps.Settings.Timing, time.Duration(m.leavingSince.Load())
	at = since + time.Duration(timing.Shutdown) - answerTime
	return at, m.deps.Clock.Now()-since >= time.Duration(timing.EntriesKeep)
}

// answerTime is the time between a request's deadline and the end of this instance in
// which its answer is written.
const answerTime = 200 * time.Millisecond

// scoreFunc returns the function that calls a scoring service over its route.
func (m *Managed) scoreFunc() steps.ScoreFunc {
	s := scorer{
		views: m.views, clock: m.deps.Clock, log: m.deps.Log, stampHeader: m.deps.Adapter.Dialect().StampHeader,
		chain: filter.Chain(m.attempt(), filter.Route{Internal: true}),
	}
	return s.score
}
