package daemon

import "github.com/cumincove/cumincove/capacity"

// localDemand returns the work that waits or runs at this instance, by service.
// It contains callers' requests of the services for which the system orders
// endpoints, and the rollout work of all services. The second result reports
// whether there is such a service or rollout work. Only then is the demand sent
// to the other instances.
func (d *Daemon) localDemand() (map[capacity.ServiceID]capacity.Load, bool) {
	services := d.views.Load().Config.Services
	anyPools := false
	for _, s := range services {
		anyPools = anyPools || len(s.Pools) > 0
	}
	rollouts := d.rollouts.steps.Demand()
	if !anyPools && len(rollouts) == 0 {
		return nil, false
	}
	loads := map[capacity.ServiceID]capacity.Load{}
	add := func(service string, l capacity.Load) {
		id := capacity.ServiceIDOf(service)
		loads[id] = loads[id].Add(l)
	}
	for service, n := range d.demand.Counts() {
		if len(services[service].Pools) > 0 {
			add(service, capacity.Load{Interactive: n})
		}
	}
	for service, n := range rollouts {
		add(service, capacity.Load{Rollout: n})
	}
	return loads, true
}
