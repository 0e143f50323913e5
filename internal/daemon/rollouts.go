package daemon

import (
	"net/http"
	"time"

	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/controller/rollout"
	"github.com/cumincove/cumincove/controller/weights"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/infra/httpapi"
	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/internal/pb/rolloutv1/rolloutv1connect"
)

const (
	// engineTimeout bounds a call to an engine that is not a stream.
	engineTimeout = 2 * time.Second
	// weightsPoll is the period between two polls of replicas during a swap of
	// weights.
	weightsPoll = 250 * time.Millisecond
)

// rollouts are the components behind the trainers' API.
type rollouts struct {
	steps   *rollout.Controller
	weights *weights.Controller
	targets weights.Targets
	// orderTransport sends orders to engines.
	orderTransport *http.Transport
}

// newRollouts creates the components. It requires newDuties and newRequestPath to
// have run.
func (d *Daemon) newRollouts() rollouts {
	targets := weights.Targets{Table: d.deps.Platform.Table}
	orderTransport := httpapi.NewTransport(httpapi.DialFunc(d.deps.Dial))
	return rollouts{
		targets:        targets,
		orderTransport: orderTransport,
		weights: weights.New(weights.Options{
			Targets: targets,
			Views:   d.views,
			Clock:   d.deps.Clock,
			Engine:  d.engineClient(orderTransport),
			Duty: func(dataCentre string) weights.Duty {
				return d.duties.leaseManager.Runner(leases.Duty{Name: weights.DutyName, DataCentre: dataCentre})
			},
			Log:   d.deps.Log,
			Scope: d.deps.Scope,
			Poll:  weightsPoll,
		}),
		steps: rollout.New(rollout.Options{
			Self:             d.deps.Settings.Name,
			Table:            d.deps.Platform.Table,
			Views:            d.views,
			Clock:            d.deps.Clock,
			Dispatcher:       d.dispatcher,
			Engine:           d.engineClient(d.transport),
			Peers:            outbound.PeerClient(d.peerTransport()),
			Log:              d.deps.Log,
			Scope:            d.deps.Scope,
			Call:             d.serviceCaller(),
			NewestVersion:    targets.NewestVersion,
			MaxBufferedBytes: rollout.DefaultMaxBufferedBytes,
			BatchSamples:     rollout.DefaultBatchSamples,
			Linger:           rollout.DefaultLinger,
			Grace:            rollout.DefaultGrace,
		}),
	}
}

func (d *Daemon) engineClient(transport http.RoundTripper) *engine.Client {
	timing := d.deps.Settings.Timing
	return &engine.Client{
		HTTP:              outbound.Client(transport),
		FirstChunkTimeout: time.Duration(timing.FirstByte),
		ChunkTimeout:      time.Duration(timing.Idle),
		CallTimeout:       engineTimeout,
	}
}

// addRoutes adds the trainers' routes. The path to publish weights is below the
// path of a service. It is more specific than the prefix of all services, so it
// takes precedence.
func (r rollouts) addRoutes(mux *http.ServeMux, d *Daemon) {
	mux.Handle("POST /v1/steps", d.requireKey(r.steps.ServeOpen))
	mux.Handle("GET /v1/steps", d.requireKey(r.steps.ServeList))
	mux.Handle("GET /v1/steps/{id}", d.requireKey(r.steps.ServeProgress))
	mux.Handle("GET /v1/steps/{id}/samples", d.requireKey(r.steps.ServePull))
	mux.Handle("POST /v1/services/{service}/weights", d.requireKey(r.targets.ServePublish))
}

// addPeerRoutes adds the routes for other instances.
func (r rollouts) addPeerRoutes(mux *http.ServeMux) {
	mux.Handle(rolloutv1connect.NewRolloutServiceHandler(r.steps.Peer()))
}
