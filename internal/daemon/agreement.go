package daemon

import (
	"cmp"
	"time"

	"github.com/cumincove/cumincove/controller/configuration"
	"github.com/cumincove/cumincove/controller/keys"
	"github.com/cumincove/cumincove/controller/membership"
	"github.com/cumincove/cumincove/infra"
)

// newAgreement builds the controllers that keep instances in step:
// configuration, withdrawn keys and membership. What the first two tell the
// other instances travels with the exchanges of the third.
func (d *Daemon) newAgreement() {
	s := d.d.Settings
	t := s.Timing
	d.membership = membership.New(membership.Options{
		Self: infra.Instance{
			Name: s.Name, DataCentre: s.DataCentre, CallerAddr: s.Listen.Callers,
			PeerAddr: cmp.Or(s.Listen.AdvertisePeers, s.Listen.Peers),
		},
		// Should the wall clock have gone back, package gossip raises it above
		// what others remember.
		Incarnation: d.incarnation,
		Instances:   d.d.Platform.Instances,
		Views:       d.views,
		Clock:       d.d.Clock,
		Log:         d.d.Log,
		Scope:       d.d.Scope,
		Poll:        time.Duration(t.StorePoll),
		Period:      time.Duration(t.Gossip),
		Dial:        d.dialPeer(http2),
		DialHTTP1:   d.dialPeer(),
		Demand:      d.ownDemand,
		Load:        func() (int, bool) { return int(d.inFlight.Load()), d.leaving.Load() },
	})
	d.configuration = configuration.New(configuration.Options{
		Self:      s.Name,
		Table:     d.d.Platform.Table,
		Objects:   d.d.Platform.Objects,
		Views:     d.views,
		Clock:     d.d.Clock,
		Log:       d.d.Log,
		Scope:     d.d.Scope,
		Poll:      time.Duration(t.StorePoll),
		Freshness: time.Duration(t.Freshness),
	})
	d.keys = keys.New(keys.Options{
		Self:        s.Name,
		Incarnation: d.incarnation,
		Views:       d.views,
		Clock:       d.d.Clock,
		Log:         d.d.Log,
		Scope:       d.d.Scope,
		Objects:     d.d.Platform.Objects,
		Meet:        d.membership.UrgeMembers,
	}, d.configuration, d.membership.Urge)

	d.configuration.Connect(configuration.Links{
		Peers:     d.membership,
		Installed: d.keys.Installed,
		Pending:   d.keys.Pending,
	})
}
