package daemon

import (
	"cmp"
	"time"

	"github.com/cumincove/cumincove/controller/configuration"
	"github.com/cumincove/cumincove/controller/keys"
	"github.com/cumincove/cumincove/controller/membership"
	"github.com/cumincove/cumincove/infra"
)

// newStateControllers creates the controllers of the state that all instances
// share: configuration, withdrawn keys and membership. The configuration and the
// withdrawals are sent to the other instances with the membership's gossip
// exchanges.
func (d *Daemon) newStateControllers() {
	s := d.deps.Settings
	timing := s.Timing
	d.membership = membership.New(membership.Options{
		Self: infra.Instance{
			Name: s.Name, DataCentre: s.DataCentre, CallerAddr: s.Listen.Callers,
			PeerAddr: cmp.Or(s.Listen.AdvertisePeers, s.Listen.Peers),
		},
		// If the wall clock was set back, package gossip raises the incarnation
		// above the one that other instances have recorded.
		Incarnation: d.incarnation,
		Instances:   d.deps.Platform.Instances,
		Views:       d.views,
		Clock:       d.deps.Clock,
		Log:         d.deps.Log,
		Scope:       d.deps.Scope,
		Poll:        time.Duration(timing.StorePoll),
		Period:      time.Duration(timing.Gossip),
		Dial:        d.dialPeer(http2),
		DialHTTP1:   d.dialPeer(),
		Demand:      d.localDemand,
		Load:        func() (int, bool) { return int(d.inFlight.Load()), d.leaving.Load() },
	})
	d.configuration = configuration.New(configuration.Options{
		Self:      s.Name,
		Table:     d.deps.Platform.Table,
		Objects:   d.deps.Platform.Objects,
		Views:     d.views,
		Clock:     d.deps.Clock,
		Log:       d.deps.Log,
		Scope:     d.deps.Scope,
		Poll:      time.Duration(timing.StorePoll),
		Freshness: time.Duration(timing.Freshness),
	})
	d.keys = keys.New(keys.Options{
		Self:          s.Name,
		Incarnation:   d.incarnation,
		Views:         d.views,
		Clock:         d.deps.Clock,
		Log:           d.deps.Log,
		Scope:         d.deps.Scope,
		Objects:       d.deps.Platform.Objects,
		NotifyMembers: d.membership.NotifyMembers,
	}, d.configuration, d.membership.NotifyPeers)

	d.configuration.Connect(configuration.Links{
		Peers:       d.membership,
		OnInstalled: d.keys.HandleInstalled,
		Pending:     d.keys.Pending,
	})
}
