// Package daemon connects the components of an instance: listeners, the filter
// chain, the controllers and the operators' API. It implements no policy of its
// own.
//
// There are two kinds of instances. A Daemon runs on an infra.Platform and is
// configured through its own operators' API. A Managed runs on an infra.Managed,
// whose operators write the configuration to the platform's store, and speaks the
// protocol of that platform's callers through an Adapter.
package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/configuration"
	"github.com/cumincove/cumincove/controller/deduplication"
	"github.com/cumincove/cumincove/controller/keys"
	"github.com/cumincove/cumincove/controller/load"
	"github.com/cumincove/cumincove/controller/membership"
	"github.com/cumincove/cumincove/controller/suspects"
	"github.com/cumincove/cumincove/controller/teamusage"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/internal/tlsfile"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/membudget"
	"github.com/cumincove/cumincove/settings"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
)

const (
	// idleConnTimeout bounds how long a connection to an endpoint stays idle. It
	// is short so that the connection is closed before a device on the path, such
	// as a firewall, drops its state of the connection.
	idleConnTimeout = 20 * time.Second
	// connectTimeout bounds the time to connect to an endpoint.
	connectTimeout = 2 * time.Second
	// idleConnsPerEndpoint bounds the idle connections kept to an endpoint.
	idleConnsPerEndpoint = 64
	// loadPoll is the period between two requests for an endpoint's load report,
	// and loadTimeout the timeout of one request.
	loadPoll    = time.Second
	loadTimeout = time.Second
	// userTimeout bounds how long sent data stays unacknowledged.
	userTimeout = 5 * time.Second
	// bodyTimeout bounds the time in which a caller sends a body, and
	// callerIdleTimeout the time for which its connection is kept without a
	// request.
	bodyTimeout       = 30 * time.Second
	callerIdleTimeout = time.Minute
	// readHeaderTimeout bounds the time in which a client sends a header.
	readHeaderTimeout = 10 * time.Second
)

// Deps are the dependencies of a Daemon. Tests replace the network and the
// clock; production code uses those of the operating system.
type Deps struct {
	Settings settings.Settings
	Platform infra.Platform
	Clock    clock.Clock
	Log      *slog.Logger
	Scope    tally.Scope
	// Metrics serves the metrics of Scope.
	Metrics http.Handler
	// Listen and Dial open listeners and connections.
	Listen func(network, addr string) (net.Listener, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	// TLS encrypts connections; nil sources leave them unencrypted.
	TLS TLS
	// OperatorToken is the bearer token that operators must send; empty means
	// that none is required.
	OperatorToken string
}

// TLS contains the certificate source of each kind of connection; nil sources
// leave connections unencrypted.
type TLS struct {
	Callers, Peers, Operators *tlsfile.Source
}

// LoadTLS reads the certificate files that the settings name.
func LoadTLS(s settings.TLS, log *slog.Logger) (TLS, error) {
	callers, err1 := tlsfile.Load(s.Callers, log)
	peers, err2 := tlsfile.Load(s.Peers, log)
	operators, err3 := tlsfile.Load(s.Operators, log)
	return TLS{Callers: callers, Peers: peers, Operators: operators}, errors.Join(err1, err2, err3)
}

// Daemon is one instance on a platform that is configured through the system's
// own operators' API.
type Daemon struct {
	deps      Deps
	views     *view.Store
	transport *http.Transport

	configuration *configuration.Controller
	membership    *membership.Controller
	keys          *keys.Controller
	load          *load.Controller
	rollouts      rollouts
	duties        duties
	dedup         *deduplication.Controller

	dispatcher  *dispatch.Dispatcher
	pool        *attempt.Pool
	revocations *filter.Revocations
	demand      filter.Demand
	suspects    *filter.Suspects
	teamLimit   *filter.TeamLimit

	// clientLimits and budget bound what clients use of this instance.
	clientLimits clientLimits
	budget       *membudget.Budget

	// incarnation distinguishes this process from earlier ones with the same
	// name. It is the wall-clock time of the start, so it increases with each
	// start unless the wall clock was set back.
	incarnation uint64

	// leaving instances are not listed as entries; draining instances also refuse
	// new requests.
	leaving  atomic.Bool
	draining atomic.Bool
	// entryCount counts the queries for entries, so that successive queries are
	// distributed over the instances.
	entryCount atomic.Uint64
	inFlight   atomic.Int64
}

// runner has a loop that runs until ctx ends.
type runner interface {
	Run(ctx context.Context) error
}

// runners returns the loops of the instance.
func (d *Daemon) runners() []runner {
	return []runner{
		d.configuration,
		d.membership,
		d.keys,
		d.load,
		d.dispatcher,
		d.pool,
		d.revocations,
		d.suspects,
		d.rollouts.steps,
		d.rollouts.weights,
		d.duties.leaseManager,
		d.duties.endpoints,
		d.duties.usage,
		d.dedup,
		budgetGauges{d.budget, d.deps.Scope, d.deps.Log},
	}
}

// New returns an instance. It starts no goroutine before Run.
func New(deps Deps) *Daemon {
	deps.Dial = attempt.WithConnectTimeout(deps.Dial, connectTimeout)
	d := &Daemon{deps: deps, views: view.NewStore(), incarnation: uint64(time.Now().UnixNano())}
	d.clientLimits = newClientLimits(deps.Settings.Limits, readProcessLimits())
	d.budget = newBudget(d.clientLimits)
	d.transport = outbound.Transport(deps.Dial)
	d.transport.IdleConnTimeout = idleConnTimeout
	d.transport.MaxIdleConnsPerHost = idleConnsPerEndpoint
	d.newStateControllers()
	d.load = load.New(load.Options{
		Views:      d.views,
		Clock:      deps.Clock,
		Engine:     &engine.Client{HTTP: outbound.Client(d.transport), CallTimeout: loadTimeout},
		Self:       d.deps.Settings.Name,
		DataCentre: d.deps.Settings.DataCentre,
		Poll:       loadPoll,
	})
	d.duties = d.newDuties()
	d.newRequestPath()
	d.rollouts = d.newRollouts()
	return d
}

// dialPeer returns a function that opens connections to other instances.
func (d *Daemon) dialPeer(protocols ...string) dialFunc {
	return dialFunc(d.deps.TLS.Peers.Dialer(tlsfile.DialFunc(d.deps.Dial), protocols...))
}

// peerTransport returns the transport for calls to other instances.
func (d *Daemon) peerTransport() *http.Transport {
	t := d.transport.Clone()
	t.DialContext = d.dialPeer()
	return t
}

// newRequestPath creates the components that the filter chain of services uses.
func (d *Daemon) newRequestPath() {
	poolOptions := attempt.DefaultOptions()
	poolOptions.Clock = d.deps.Clock
	poolOptions.Dial = attempt.WithUserTimeout(d.deps.Dial, userTimeout)
	d.pool = attempt.NewPool(poolOptions)
	d.pool.SetBudget(d.budget)
	d.dispatcher = dispatch.New(dispatch.Options{
		Views:           d.views,
		Clock:           d.deps.Clock,
		Log:             d.deps.Log,
		Scope:           d.deps.Scope,
		DataCentre:      d.deps.Settings.DataCentre,
		Queue:           fairqueue.DefaultOptions(),
		Limit:           limit.DefaultOptions(),
		IdleConnections: d.pool.IdleConns,
	})
	d.revocations = filter.NewRevocations(filter.RevocationsOptions{
		Views: d.views, Freshness: d.configuration, Clock: d.deps.Clock,
	})
	d.dedup = deduplication.New(deduplication.Options{
		Table:       d.deps.Platform.Table,
		Views:       d.views,
		Clock:       d.deps.Clock,
		Log:         d.deps.Log,
		Scope:       d.deps.Scope,
		Self:        d.deps.Settings.Name,
		Incarnation: d.incarnation,
		Keep:        time.Duration(d.deps.Settings.Timing.DedupKeep),
	})
	d.suspects = filter.NewSuspects(filter.SuspectsOptions{
		Name: d.deps.Settings.Name, Instance: d.deps.Settings.Name + "/" + rand.Text(), Clock: d.deps.Clock, Views: d.views,
		Log: d.deps.Log, Scope: d.deps.Scope,
	})
	d.teamLimit = &filter.TeamLimit{
		Views: d.views, Clock: d.deps.Clock, MaxRequestTime: time.Duration(d.deps.Settings.Limits.RequestTime), Seq: d.incarnation,
	}
	lossReports := &suspects.Controller{Broadcast: d.membership.Broadcast, Receiver: d.suspects, Log: d.deps.Log}
	d.suspects.ReportLoss = lossReports.Report
	// Withdrawals come first: a configuration version that contains a withdrawal
	// is reported only after that withdrawal.
	d.membership.SetPayloadHandlers(d.keys, lossReports, &teamusage.Controller{Queues: d.dispatcher}, &teamusage.LimitExchange{Shares: d.teamLimit},
		d.duties.endpoints, d.load, d.configuration)
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Run serves until ctx ends, then shuts down gracefully. It returns an error if a
// listener can't be opened or if a loop or a server fails.
func (d *Daemon) Run(ctx context.Context) error {
	d.clientLimits.logTo(d.deps.Log)
	servers, err := d.listen()
	if err != nil {
		return err
	}
	defer d.closeIdle()
	return runUntil(ctx, d.runners(), servers, func(failed context.Context) { d.shutdown(failed, servers) })
}

// runUntil runs loops and servers until ctx ends or one of them fails. It then
// calls shutdown and, after it, stops the loops. The context of shutdown ends
// when a loop or a server fails.
func runUntil(ctx context.Context, runners []runner, servers []*server, shutdown func(failed context.Context)) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	g, gctx := errgroup.WithContext(work)
	for _, r := range runners {
		g.Go(func() error { return r.Run(gctx) })
	}
	for _, s := range servers {
		g.Go(s.serve)
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-gctx.Done():
		}
		shutdown(gctx)
		stopWork()
		return nil
	})
	return g.Wait()
}

// closeIdle closes the idle connections to endpoints and other instances.
func (d *Daemon) closeIdle() {
	d.transport.CloseIdleConnections()
	d.rollouts.orderTransport.CloseIdleConnections()
}
