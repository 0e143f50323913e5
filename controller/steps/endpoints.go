package steps

import (
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/view"
)

// endpointsOf returns the endpoints of the step's service that have its model and
// are not leaving.
func (c *Controller) endpointsOf(v *view.View, spec durable.Spec) []durable.Endpoint {
	var list []durable.Endpoint
	for _, e := range v.Endpoints[spec.Service] {
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
		})
	}
	return list
}
