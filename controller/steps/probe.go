package steps

import (
	"context"
	"time"
)

// unresponsiveAfter is the time without a new heartbeat after which an owner is
// probed. By then two consecutive reads have found no new heartbeat.
const unresponsiveAfter = 1900 * time.Millisecond

// ownerProber detects lost owners before their heartbeats lapse: an owner is lost
// if its heartbeats have stopped and it does not respond to a call. Each scan uses
// its own ownerProber.
type ownerProber struct {
	c *Controller
	// probed contains the probed owners, and whether they are lost.
	probed map[Owner]bool
}

// ownerLost reports whether an owner is lost. It probes each owner at most once.
func (p *ownerProber) ownerLost(ctx context.Context, o Owner) bool {
	v := p.c.o.Views.Load()
	m := v.Members[o.Instance]
	if v.MembersAt-m.HeartbeatAt < unresponsiveAfter {
		return false
	}
	lost, ok := p.probed[o]
	if !ok {
		_, err := p.c.o.Handoff.Alive(ctx, m)
		lost = err != nil
		p.probed[o] = lost
		p.c.o.Log.Info("unresponsive owner probed", "owner", o.Instance, "incarnation", o.Incarnation,
			"silent", v.MembersAt-m.HeartbeatAt, "error", err)
	}
	return lost
}
