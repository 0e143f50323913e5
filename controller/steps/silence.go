package steps

import (
	"context"
	"time"
)

// silentAfter is the time without a new heartbeat, at two reads in a row, after which
// an owner is asked whether it is there.
const silentAfter = 1900 * time.Millisecond

// silence finds the owners that are lost before their heartbeats lapse: those whose
// heartbeats cease and that don't answer either. It serves one look at all steps.
type silence struct {
	c *Controller
	// asked holds the owners that were asked and whether they are lost.
	asked map[Owner]bool
}

// is reports whether an owner is lost.
func (s *silence) is(ctx context.Context, o Owner) bool {
	v := s.c.o.Views.Load()
	m := v.Members[o.Instance]
	if v.MembersAt-m.HeardAt < silentAfter {
		return false
	}
	lost, ok := s.asked[o]
	if !ok {
		_, err := s.c.o.Hand.Alive(ctx, m)
		lost = err != nil
		s.asked[o] = lost
		s.c.o.Log.Info("silent owner asked", "owner", o.Instance, "incarnation", o.Incarnation,
			"silent", v.MembersAt-m.HeardAt, "error", err)
	}
	return lost
}
