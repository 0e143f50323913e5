package filter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
)

// firstByteObjectiveFactor is the first-byte timeout of idempotent requests, as a
// multiple of the route's latency objective. After the timeout the request is
// retried at another endpoint.
const firstByteObjectiveFactor = 4

// Route finds the route of a request by its host and path, and one of the
// route's services by weight.
type Route struct {
	// Internal marks requests that the system itself sends. They need no key.
	Internal bool
}

// ServeHTTP sets r.Route, r.Service and r.Path and bounds the request by the
// route's timeout. It returns code.NotFresh if no configuration has been loaded,
// code.NoSuchRoute if no route matches, and code.NoEndpoint if the route has no
// service.
func (f Route) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	if r.View.Config.Version == 0 {
		return code.New(code.NotFresh, "no configuration is known yet")
	}
	route, ok := r.View.Config.RouteFor(r.Host, r.URL.Path)
	if !ok {
		return code.New(code.NoSuchRoute, "%s", r.URL.Path)
	}
	name := route.PickService(rand.Float64())
	s, ok := r.View.Config.Services[name]
	if !ok {
		return code.New(code.NoEndpoint, "route %q has no service", route.Name)
	}
	s.Open = route.Open || f.Internal
	s.Idempotent = route.Kind == config.RouteIdempotent
	if s.Idempotent {
		s.FirstByteTimeout = config.Duration(firstByteObjectiveFactor) * route.LatencyObjective
	}
	r.Route = route
	r.Internal = f.Internal
	r.Service = s
	r.Path = r.URL.Path
	timeout := time.Duration(route.Timeout)
	if timeout <= 0 || r.Arrived+timeout >= r.Deadline {
		return next.ServeHTTP(w, r)
	}
	r.Deadline = r.Arrived + timeout
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	r.Request = r.WithContext(ctx)
	return next.ServeHTTP(w, r)
}
