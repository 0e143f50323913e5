package daemon

import (
	"time"

	"github.com/cumincove/cumincove/controller/endpoints"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/controller/usage"
)

const (
	// endpointPoll is the period between two observations of a data centre. A
	// reclaim notice is to be answered within a second.
	endpointPoll = 500 * time.Millisecond
	// orderSettle is how long a count may differ from its order before it is
	// ordered again.
	orderSettle = 30 * time.Second
)

// duties are the jobs that one instance does at a time, and what it takes to
// agree on that instance.
type duties struct {
	keeper    *leases.Keeper
	endpoints *endpoints.Controller
	usage     *usage.Controller
}

func (d *Daemon) newDuties() duties {
	s := d.d.Settings
	keeper := leases.NewKeeper(leases.Options{
		Table:       d.d.Platform.Table,
		Clock:       d.d.Clock,
		Holder:      s.Name,
		Incarnation: d.incarnation,
		Duration:    time.Duration(s.Timing.LeaseDuration),
		Log:         d.d.Log,
		Metrics:     d.d.Scope,
	}, d.views)
	return duties{
		keeper: keeper,
		endpoints: endpoints.New(endpoints.Options{
			Table:     d.d.Platform.Table,
			Endpoints: d.d.Platform.Endpoints,
			Keeper:    keeper,
			Views:     d.views,
			Clock:     d.d.Clock,
			Holder:    s.Name,
			Log:       d.d.Log,
			Metrics:   d.d.Scope,
			Poll:      endpointPoll,
			Settle:    orderSettle,
			Urge:      d.membership.Urge,
			Demands:   d.membership.Demands,
		}),
		usage: usage.New(usage.Options{
			Reports:     d.d.Platform.Usage,
			Keeper:      keeper,
			Holder:      s.Name,
			Incarnation: d.incarnation,
			Log:         d.d.Log,
			Metrics:     d.d.Scope,
			Window:      time.Duration(s.Timing.UsageWindow),
			Flush:       time.Duration(s.Timing.UsageFlush),
		}),
	}
}
