// Package daemon wires the parts of one instance together: listeners, the
// filter chain, the controllers and the operators' interface. It holds no
// policy of its own.
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
	"github.com/cumincove/cumincove/controller/use"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/tlsfile"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/settings"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
)

const (
	// idleConnTimeout closes idle connections to endpoints before something
	// between the two ends forgets them.
	idleConnTimeout = 20 * time.Second
	// connectTimeout bounds the dialling of an endpoint.
	connectTimeout = 2 * time.Second
	// idleConnsPerEndpoint bounds the idle connections kept to an endpoint.
	idleConnsPerEndpoint = 64
	// loadPoll and loadTimeout are the period of load reports and the bound on
	// one.
	loadPoll    = time.Second
	loadTimeout = time.Second
	// userTimeout bounds how long sent data stays unacknowledged.
	userTimeout = 5 * time.Second
	// bodyTimeout bounds the time a caller takes to send a body, and
	// callerIdleTimeout the time its connection is kept without a request.
	bodyTimeout       = 30 * time.Second
	callerIdleTimeout = time.Minute
	// readHeaderTimeout bounds the time a peer takes to send a header.
	readHeaderTimeout = 10 * time.Second
)

// Deps is what a Daemon gets from the outside. Tests replace the network and
// the clock; production code uses OS.
type Deps struct {
	Settings settings.Settings
	Platform infra.Platform
	Clock    clock.Clock
	Log      *slog.Logger
	Scope    tally.Scope
	// Metrics serves the metrics of Scope.
	Metrics http.Handler
	// Listen and Dial are the network.
	Listen func(network, addr string) (net.Listener, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	// TLS encrypts connections; nil sources leave them plain.
	TLS TLS
	// OperatorToken must be shown by operators; empty means that none is
	// needed.
	OperatorToken string
}

// TLS holds the certificates for each kind of connection.
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

// Daemon is one instance.
type Daemon struct {
	d         Deps
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

	// incarnation tells this process from earlier ones of its name. It is
	// higher after each start, as far as the wall clock is.
	incarnation uint64

	// leaving instances are withheld from entries; draining ones also refuse
	// new work.
	leaving    atomic.Bool
	draining   atomic.Bool
	entryCount atomic.Uint64
	inFlight   atomic.Int64
}

// runner is a controller's loop.
type runner interface {
	Run(ctx context.Context) error
}

// runners lists the loops of the instance, a line each.
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
		d.duties.keeper,
		d.duties.endpoints,
		d.duties.usage,
		d.dedup,
	}
}

// New builds an instance. Nothing runs before Run.
func New(deps Deps) *Daemon {
	deps.Dial = attempt.WithConnectTimeout(deps.Dial, connectTimeout)
	d := &Daemon{d: deps, views: view.NewStore(), incarnation: uint64(time.Now().UnixNano())}
	d.transport = &http.Transport{
		DialContext:         deps.Dial,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: idleConnsPerEndpoint,
		DisableCompression:  true,
	}
	d.newAgreement()
	d.load = load.New(load.Options{
		Views:      d.views,
		Clock:      deps.Clock,
		Client:     &http.Client{Transport: d.transport},
		Self:       d.d.Settings.Name,
		DataCentre: d.d.Settings.DataCentre,
		Poll:       loadPoll,
		Timeout:    loadTimeout,
	})
	d.duties = d.newDuties()
	d.newRequestParts()
	d.rollouts = d.newRollouts()
	return d
}

// dialPeer opens connections to other instances.
func (d *Daemon) dialPeer(protocols ...string) dialFunc {
	return dialFunc(d.d.TLS.Peers.Dialer(tlsfile.Dial(d.d.Dial), protocols...))
}

// peerTransport carries calls to other instances.
func (d *Daemon) peerTransport() *http.Transport {
	t := d.transport.Clone()
	t.DialContext = d.dialPeer()
	return t
}

// newRequestParts builds what the filter chain of services works with.
func (d *Daemon) newRequestParts() {
	opt := attempt.DefaultOptions()
	opt.Clock = d.d.Clock
	opt.Dial = attempt.WithUserTimeout(d.d.Dial, userTimeout)
	d.pool = attempt.NewPool(opt)
	d.dispatcher = dispatch.New(dispatch.Options{
		Views:      d.views,
		Clock:      d.d.Clock,
		Log:        d.d.Log,
		Scope:      d.d.Scope,
		DataCentre: d.d.Settings.DataCentre,
		Queue:      fairqueue.DefaultOptions(),
		Limit:      limit.DefaultOptions(),
		Warm:       d.pool.Warm,
	})
	d.revocations = filter.NewRevocations(filter.RevocationsOptions{
		Views: d.views, Freshness: d.configuration, Clock: d.d.Clock,
	})
	d.dedup = deduplication.New(deduplication.Options{
		Table:       d.d.Platform.Table,
		Views:       d.views,
		Clock:       d.d.Clock,
		Log:         d.d.Log,
		Scope:       d.d.Scope,
		Self:        d.d.Settings.Name,
		Incarnation: d.incarnation,
		Keep:        time.Duration(d.d.Settings.Timing.DedupKeep),
	})
	d.suspects = filter.NewSuspects(filter.SuspectsOptions{
		Name: d.d.Settings.Name, Instance: d.d.Settings.Name + "/" + rand.Text(), Clock: d.d.Clock, Views: d.views,
		Log: d.d.Log, Scope: d.d.Scope,
	})
	d.teamLimit = &filter.TeamLimit{
		Views: d.views, Clock: d.d.Clock, Hold: time.Duration(d.d.Settings.Limits.RequestTime), Seq: d.incarnation,
	}
	rider := &suspects.Controller{Spread: d.membership.Spread, Hearer: d.suspects, Log: d.d.Log}
	d.suspects.Tell = rider.Tell
	// Withdrawals come first: a version that holds one is told only after it.
	d.membership.SetRiders(d.keys, rider, &use.Controller{Queues: d.dispatcher}, &use.Limits{Shares: d.teamLimit},
		d.duties.endpoints, d.load, d.configuration)
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Run serves until ctx ends, then shuts down gracefully. It returns an error
// if a listener can't be opened.
func (d *Daemon) Run(ctx context.Context) error {
	servers, err := d.listen()
	if err != nil {
		return err
	}
	defer d.closeIdle()
	return runUntil(ctx, d.runners(), servers, func(failed context.Context) { d.shutdown(failed, servers) })
}

// runUntil runs loops and servers until ctx ends or one of them fails, then
// calls shutdown, with a context that has ended if one failed, and at last ends
// the loops.
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

// closeIdle closes the connections to endpoints and instances that are left.
func (d *Daemon) closeIdle() {
	d.transport.CloseIdleConnections()
	d.rollouts.orders.CloseIdleConnections()
}
