package load

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/cumincove/cumincove/view"
)

// The instances of a data centre divide the engines among themselves and forward
// the load reports to each other. The number of polls per instance therefore
// does not grow with the number of engines. Instead the reports get older, and
// routing compensates for this by counting the requests sent since.
const (
	// localRate and remoteRate are the numbers of polls per second that all
	// instances of a data centre make together, to engines of their own data
	// centre and of other ones.
	localRate  = 24
	remoteRate = 6
	// maxLocalPolls and maxRemotePolls bound the polls of one instance in a
	// period.
	maxLocalPolls  = 8
	maxRemotePolls = 4
	// takeoverPeriods is the number of periods after which the next instance
	// polls an engine in place of one that did not.
	takeoverPeriods = 2
)

// peerRank is the index of this instance among the live instances of its data
// centre in order of name, and their number.
type peerRank struct {
	index, count int
}

// peerRankOf returns the rank of self among the live instances of a data centre,
// including self.
func peerRankOf(v *view.View, self, dataCentre string) peerRank {
	p := peerRank{count: 1}
	for name, m := range v.Members {
		if m.DataCentre != dataCentre || name == self {
			continue
		}
		p.count++
		if name < self {
			p.index++
		}
	}
	return p
}

// rankFor returns the number of other instances that poll an engine before this
// one does. The argument is the hash of the engine's name.
func (p peerRank) rankFor(engine uint32) int {
	n := uint32(p.count)
	return int((uint32(p.index) + n - engine%n) % n)
}

// reportPeriod returns the time between two reports of each of n engines. It is
// at least half a poll period, since reports of peers arrive later than own ones.
func reportPeriod(n, rate int, poll time.Duration) time.Duration {
	return max(poll/2, time.Duration(n)*time.Second/time.Duration(rate))
}

// dueEngines returns up to limit engines to poll now, the most overdue first. An
// engine is due when period has passed without a report of it and without a poll
// by this instance; for each instance that polls the engine before this one, the
// time is takeoverPeriods periods longer. A new engine is due immediately at the
// instance that polls it first.
func (c *Controller) dueEngines(now time.Duration, list []*view.Endpoint, p peerRank, period time.Duration, limit int) []*view.Endpoint {
	type overdue struct {
		e  *view.Endpoint
		by time.Duration
	}
	var all []overdue
	for _, e := range list {
		s := c.engines[e.Name]
		rank := time.Duration(p.rankFor(s.hash))
		if s.reportedAt == 0 && rank == 0 && s.polledAt == s.observedAt {
			all = append(all, overdue{e, now})
			continue
		}
		by := now - max(s.reportedAt, s.polledAt) - period*(1+takeoverPeriods*rank)
		if by >= -c.o.Poll/(2*roundsPerPoll) {
			all = append(all, overdue{e, by})
		}
	}
	slices.SortFunc(all, func(a, b overdue) int {
		return cmp.Or(cmp.Compare(b.by, a.by), cmp.Compare(a.e.Name, b.e.Name))
	})
	out := make([]*view.Endpoint, 0, limit)
	for _, o := range all[:min(limit, len(all))] {
		c.engines[o.e.Name].polledAt = now
		out = append(out, o.e)
	}
	return out
}

// nameHash returns the hash that represents an engine's name in messages.
func nameHash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum32()
}
