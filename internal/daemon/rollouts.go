package daemon

import (
	"net/http"
	"time"

	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/controller/rollout"
	"github.com/cumincove/cumincove/controller/weights"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/infra/httpapi"
	"github.com/cumincove/cumincove/internal/pb/rolloutv1/rolloutv1connect"
)

const (
	// engineTimeout bounds a call to an engine that is not a stream.
	engineTimeout = 2 * time.Second
	// weightsPoll is the period between two looks at replicas during a swap.
	weightsPoll = 250 * time.Millisecond
)

// rollouts are the parts that trainers use.
type rollouts struct {
	steps   *rollout.Controller
	weights *weights.Controller
	targets weights.Targets
	// orders is the transport of orders to engines.
	orders *http.Transport
}

// newRollouts needs the duties.
func (d *Daemon) newRollouts() rollouts {
	targets := weights.Targets{Table: d.d.Platform.Table}
	orders := httpapi.NewTransport(httpapi.DialFunc(d.d.Dial))
	return rollouts{
		targets: targets,
		orders:  orders,
		weights: weights.New(weights.Options{
			Targets: targets,
			Views:   d.views,
			Clock:   d.d.Clock,
			Engine:  d.engineClient(orders),
			Duty: func(dataCentre string) weights.Duty {
				return d.duties.keeper.Runner(leases.Duty{Name: weights.DutyName, DataCentre: dataCentre})
			},
			Log:   d.d.Log,
			Scope: d.d.Scope,
			Poll:  weightsPoll,
		}),
		steps: rollout.New(rollout.Options{
			Self:         d.d.Settings.Name,
			Table:        d.d.Platform.Table,
			Views:        d.views,
			Clock:        d.d.Clock,
			Dispatcher:   d.dispatcher,
			Engine:       d.engineClient(d.transport),
			Peers:        &http.Client{Transport: d.peerTransport()},
			Log:          d.d.Log,
			Scope:        d.d.Scope,
			Call:         d.serviceCaller(),
			Newest:       targets.Newest,
			HeldBytes:    rollout.DefaultHeldBytes,
			BatchSamples: rollout.DefaultBatchSamples,
			Linger:       rollout.DefaultLinger,
			Grace:        rollout.DefaultGrace,
		}),
	}
}

func (d *Daemon) engineClient(transport http.RoundTripper) *engine.Client {
	t := d.d.Settings.Timing
	return &engine.Client{
		HTTP:      &http.Client{Transport: transport},
		FirstByte: time.Duration(t.FirstByte),
		Idle:      time.Duration(t.Idle),
		Timeout:   engineTimeout,
	}
}

// routes adds the trainers' routes. Publish has a path of its own below the
// services, which wins over the prefix of all services.
func (r rollouts) routes(mux *http.ServeMux, d *Daemon) {
	mux.Handle("POST /v1/steps", d.keyed(r.steps.ServeOpen))
	mux.Handle("GET /v1/steps", d.keyed(r.steps.ServeList))
	mux.Handle("GET /v1/steps/{id}", d.keyed(r.steps.ServeProgress))
	mux.Handle("GET /v1/steps/{id}/samples", d.keyed(r.steps.ServePull))
	mux.Handle("POST /v1/services/{service}/weights", d.keyed(r.targets.ServePublish))
}

// peerRoutes adds what other instances call.
func (r rollouts) peerRoutes(mux *http.ServeMux) {
	mux.Handle(rolloutv1connect.NewRolloutServiceHandler(r.steps.Peer()))
}
