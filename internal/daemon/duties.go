package daemon

import (
	"time"

	"github.com/cumincove/cumincove/controller/endpoints"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/controller/usage"
)

const (
	// endpointPoll is the period between two observations of a data centre. It is
	// below a second because a reclaim notice must be handled within a second.
	endpointPoll = 500 * time.Millisecond
	// orderSettle is how long the number of endpoints may differ from the ordered
	// number before the order is repeated.
	orderSettle = 30 * time.Second
)

// duties are the tasks that one instance at a time performs, and the manager of
// the leases that determine which instance that is.
type duties struct {
	leaseManager *leases.Manager
	endpoints    *endpoints.Controller
	usage        *usage.Controller
}

func (d *Daemon) newDuties() duties {
	s := d.deps.Settings
	manager := leases.NewManager(leases.Options{
		Table:       d.deps.Platform.Table,
		Clock:       d.deps.Clock,
		Holder:      s.Name,
		Incarnation: d.incarnation,
		Duration:    time.Duration(s.Timing.LeaseDuration),
		Log:         d.deps.Log,
		Metrics:     d.deps.Scope,
	}, d.views)
	return duties{
		leaseManager: manager,
		endpoints: endpoints.New(endpoints.Options{
			Table:         d.deps.Platform.Table,
			Endpoints:     d.deps.Platform.Endpoints,
			Leases:        manager,
			Views:         d.views,
			Clock:         d.deps.Clock,
			Holder:        s.Name,
			Log:           d.deps.Log,
			Metrics:       d.deps.Scope,
			Poll:          endpointPoll,
			Settle:        orderSettle,
			NotifyPeers:   d.membership.NotifyPeers,
			DemandReports: d.membership.DemandReports,
		}),
		usage: usage.New(usage.Options{
			Reports:     d.deps.Platform.Usage,
			Leases:      manager,
			Holder:      s.Name,
			Incarnation: d.incarnation,
			Log:         d.deps.Log,
			Metrics:     d.deps.Scope,
			Window:      time.Duration(s.Timing.UsageWindow),
			Flush:       time.Duration(s.Timing.UsageFlush),
		}),
	}
}
