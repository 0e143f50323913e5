package load

import (
	"cmp"
	"context"
	"math/bits"
	"slices"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"github.com/cumincove/cumincove/view"
)

const (
	// reportTolerance is the maximum time between two reports of an engine that
	// count as the same report: ages are rounded, and messages take time.
	reportTolerance = 250 * time.Millisecond
	// ageUnit is the unit of ages in messages.
	ageUnit = 10 * time.Millisecond
	// maxReports is the maximum number of reports in a message.
	maxReports = 64
	// maxDuplicates is the number of times that peers send a stored report again
	// before this instance stops forwarding it.
	maxDuplicates = 2

	stateLoading  = 1
	stateDraining = 2
)

// forwardCount returns how often this instance forwards a report. The number
// grows with the number of instances. It is half as large for engines in other
// data centres, because there are many more of them.
func (c *Controller) forwardCount(v *view.View, s *engineState) int {
	n := bits.Len(uint(peerRankOf(v, c.o.Self, c.o.DataCentre).count))
	if s.remote {
		return (n + 1) / 2
	}
	return n
}

// Fill adds the newest reports to a message for an instance of this data centre.
// In a response, it leaves out the reports that the request contained.
func (c *Controller) Fill(e *gossipv1.Envelope, peer string, request *gossipv1.Envelope) {
	m, ok := c.o.Views.Load().Members[peer]
	if !ok || m.DataCentre != c.o.DataCentre {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	received := map[uint32]time.Duration{}
	for i, h := range request.GetLoads().GetEndpoints() {
		received[h] = now - reportAge(request.GetLoads(), i)
	}
	var list []*engineState
	for _, s := range c.engines {
		at, found := received[s.hash]
		if s.forwards > 0 && (!found || s.reportedAt > at+reportTolerance) {
			list = append(list, s)
		}
	}
	if len(list) > 0 {
		e.Loads = encodeNewest(list, now)
	}
}

// encodeNewest encodes the newest reports, up to maxReports of them, and counts
// them as forwarded.
func encodeNewest(list []*engineState, now time.Duration) *gossipv1.Loads {
	slices.SortFunc(list, func(a, b *engineState) int {
		return cmp.Or(cmp.Compare(b.reportedAt, a.reportedAt), cmp.Compare(a.hash, b.hash))
	})
	l := &gossipv1.Loads{}
	for _, s := range list[:min(len(list), maxReports)] {
		s.forwards--
		appendReport(l, s, now)
	}
	return l
}

// appendReport appends a report to l. The list of roles stays empty until a
// report has a role.
func appendReport(l *gossipv1.Loads, s *engineState, now time.Duration) {
	l.Endpoints = append(l.Endpoints, s.hash)
	l.Ages = append(l.Ages, uint32((now-s.reportedAt+ageUnit-1)/ageUnit))
	l.Running = append(l.Running, uint32(max(s.load.Running, 0)))
	l.Waiting = append(l.Waiting, uint32(max(s.load.Waiting, 0)))
	l.MaxRunning = append(l.MaxRunning, uint32(max(s.load.MaxRunning, 0)))
	l.WeightVersions = append(l.WeightVersions, s.load.WeightVersion)
	flags := uint32(0)
	if s.load.Loading {
		flags |= stateLoading
	}
	if s.load.Draining {
		flags |= stateDraining
	}
	l.States = append(l.States, flags)
	if s.load.Role != "" || len(l.Roles) > 0 {
		for len(l.Roles) < len(l.Endpoints)-1 {
			l.Roles = append(l.Roles, "")
		}
		l.Roles = append(l.Roles, s.load.Role)
	}
}

func reportAge(l *gossipv1.Loads, i int) time.Duration {
	if i >= len(l.GetAges()) {
		return 0
	}
	return time.Duration(l.Ages[i]) * ageUnit
}

// HandlePush handles the reports in a request.
func (c *Controller) HandlePush(_ context.Context, e *gossipv1.Envelope) {
	c.receive(c.o.Clock.Now(), e.GetLoads())
}

// HandleResponse handles the reports in a response. Their ages are counted from the
// start of the exchange, so that a slow response can't make a report look newer
// than it is.
func (c *Controller) HandleResponse(_ context.Context, started time.Duration, e *gossipv1.Envelope) bool {
	c.receive(started, e.GetLoads())
	return true
}

// receive stores the reports that are newer than the stored ones. They are
// published in the next round. A message whose lists differ in length is
// malformed and is ignored.
func (c *Controller) receive(now time.Duration, l *gossipv1.Loads) {
	n := len(l.GetEndpoints())
	if n == 0 || n > maxReports || !equalLengths(l, n) {
		return
	}
	v := c.o.Views.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, h := range l.Endpoints {
		s := c.engines[c.byHash[h]]
		if s == nil {
			continue
		}
		at := now - reportAge(l, i)
		if s.update(decodeReport(l, i), at, c.forwardCount(v, s)) || at < s.reportedAt-reportTolerance {
			continue
		}
		if s.duplicates++; s.duplicates >= maxDuplicates {
			s.forwards = 0
		}
	}
}

// equalLengths reports whether each list has n elements. The list of roles may
// be empty.
func equalLengths(l *gossipv1.Loads, n int) bool {
	return len(l.Ages) == n && len(l.Running) == n && len(l.Waiting) == n &&
		len(l.MaxRunning) == n && len(l.WeightVersions) == n && len(l.States) == n &&
		(len(l.Roles) == n || len(l.Roles) == 0)
}

func decodeReport(l *gossipv1.Loads, i int) engine.Load {
	out := engine.Load{
		Running:       int(l.Running[i]),
		Waiting:       int(l.Waiting[i]),
		MaxRunning:    int(l.MaxRunning[i]),
		WeightVersion: l.WeightVersions[i],
		Loading:       l.States[i]&stateLoading != 0,
		Draining:      l.States[i]&stateDraining != 0,
	}
	if len(l.Roles) > 0 {
		out.Role = l.Roles[i]
	}
	return out
}
