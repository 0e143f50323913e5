package steps

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/view"
)

// endpointsOf returns the endpoints at which samples of the step may start now: those
// of the preferred service that has an endpoint with a weight version that the step
// accepts, or else those of any. routed is false if the step's route was removed.
func (c *Controller) endpointsOf(v *view.View, spec durable.Spec) (list []durable.Endpoint, routed bool) {
	services := servicesOf(v.Config, spec)
	for _, service := range services {
		endpoints := c.endpointsOfService(v, spec, service)
		if slices.ContainsFunc(endpoints, func(e durable.Endpoint) bool { return e.Version >= spec.MinVersion }) {
			return endpoints, true
		}
		if len(list) == 0 {
			list = endpoints
		}
	}
	return list, len(services) > 0
}

// servicesOf returns the services whose engines may generate the samples of a step,
// in order of preference: the step's route can lead to other services than when the
// step was accepted. It returns none if the route was removed.
func servicesOf(cfg *config.State, spec durable.Spec) []string {
	if cfg.Version == 0 || cfg.Version < spec.ConfigVersion {
		return []string{spec.Service} // the configuration is older than the step
	}
	route, ok := routeOf(cfg, spec)
	if !ok {
		return nil
	}
	preferred := spec.Service
	services := route.Services()
	if !slices.Contains(services, preferred) {
		preferred = route.PickService(drawOf(spec.ID))
	}
	if i := slices.Index(services, preferred); i > 0 {
		services[0], services[i] = services[i], services[0]
	}
	return services
}

// routeOf returns the step's route: the one of its name or, if there is none, the one
// that its samples' requests match.
func routeOf(cfg *config.State, spec durable.Spec) (config.Route, bool) {
	if route, ok := cfg.RouteNamed(spec.Host, spec.Route); ok {
		return route, true
	}
	if len(spec.Samples) == 0 {
		return config.Route{}, false
	}
	route, ok := cfg.RouteFor(spec.Host, spec.Samples[0].Path)
	return route, ok && route.Kind == config.RouteRollout
}

// drawOf returns a number in [0, 1) for a step that is the same at all instances.
func drawOf(id string) float64 {
	const bits = 53 // that a float64 represents exactly
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

// endpointsOfService returns the endpoints of a service that have the step's model and
// are not leaving.
func (c *Controller) endpointsOfService(v *view.View, spec durable.Spec, service string) []durable.Endpoint {
	var list []durable.Endpoint
	for _, e := range v.Endpoints[service] {
		if e.Leaving || e.Weights[spec.Model] == 0 {
			continue
		}
		inUse := int(e.Stats.InFlight.Load()) + e.RemoteRequests()
		list = append(list, durable.Endpoint{
			Name:            e.Name,
			Version:         e.Weights[spec.Model],
			FreeSlots:       c.permitted(e, e.Slots-inUse),
			Load:            float64(inUse) / float64(max(e.Slots, 1)),
			IdleConnections: c.o.IdleConnections(e.Addr),
			Speed:           c.o.Speeds.Speed(e),
		})
	}
	return list
}
