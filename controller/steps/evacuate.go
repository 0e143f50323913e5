package steps

import (
	"time"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/view"
)

// leaveEvacuated returns the actions that move the step's streams away from the
// endpoints of evacuated data centres. The caller must hold r.mu.
func (r *runner) leaveEvacuated(v *view.View, now time.Duration, endpoints []durable.Endpoint) []durable.Action {
	if len(v.EvacuatedDataCentres()) == 0 {
		return nil
	}
	actions := r.step.LeaveEndpoints(now, func(name string) bool {
		e, ok := v.EndpointByName(name)
		return ok && v.Evacuated(e.DataCentre)
	}, endpoints)
	r.c.o.Scope.Counter("samples_evacuated").Inc(int64(len(actions) / 2)) // each move has two
	return actions
}
