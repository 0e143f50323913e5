package fairqueue

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// reportTTL is how long an instance's last usage report counts.
	reportTTL = 5 * time.Second
	// maxReports bounds the number of instances whose reports are kept.
	maxReports = 64
	// maxRemoteDebt bounds the debt that a team can have for its usage at other
	// instances, as the time that it takes to serve the debt at the locally
	// measured rate. It is longer than the interval between two reports, and
	// short enough that the debt is paid soon after the last report.
	maxRemoteDebt = 2 * time.Second
	// fairMargin is the multiple of its fair share that a team may use before
	// it is charged, so that random variation does not cause charges.
	fairMargin = 1.5
)

// Usage is the usage of a service by one team.
type Usage struct {
	Team  string
	Class Class
	// Rate is the cost per second.
	Rate float64
}

// RemoteUsage stores the usage of one service by teams at other instances, and
// computes which teams to charge for it locally. The zero value is ready for
// use.
type RemoteUsage struct {
	reports map[string]report
}

// report is the last usage report of one instance.
type report struct {
	at    time.Duration
	usage []Usage
}

// HandleReport stores the usage report of another instance, which replaces the
// previous one.
func (r *RemoteUsage) HandleReport(now time.Duration, instance string, usage []Usage) {
	if r.reports == nil {
		r.reports = map[string]report{}
	}
	if _, ok := r.reports[instance]; !ok && len(r.reports) >= maxReports {
		r.evictOldest()
	}
	r.reports[instance] = report{at: now, usage: slices.Clone(usage)}
}

func (r *RemoteUsage) evictOldest() {
	oldest, at := "", time.Duration(math.MaxInt64)
	for name, rep := range r.reports {
		if rep.at < at {
			oldest, at = name, rep.at
		}
	}
	delete(r.reports, oldest)
}

// total is the usage of one team: local at this instance, and all at this
// instance and at those with an unexpired report.
type total struct {
	local, all, weight float64
}

// Excess returns, for each team, by how much its usage over all instances
// exceeds its fair share of the usage of all teams, but no more than its usage
// at other instances: the local queue already accounts for its usage at this
// instance, which is passed as own. A team is not listed if its usage is within
// fairMargin times its share, or if it has no usage at other instances. Without
// reports from other instances the result is empty.
func (r *RemoteUsage) Excess(now time.Duration, own []Usage, weight func(team string) float64) []Usage {
	var totals [classes]map[string]*total
	for c := range totals {
		totals[c] = map[string]*total{}
	}
	add := func(u Usage) *total {
		t := totals[u.Class][u.Team]
		if t == nil {
			t = &total{weight: positive(weight(u.Team))}
			totals[u.Class][u.Team] = t
		}
		t.all += u.Rate
		return t
	}
	for _, u := range own {
		add(u).local += u.Rate
	}
	for name, rep := range r.reports {
		if now-rep.at >= reportTTL {
			delete(r.reports, name)
			continue
		}
		for _, u := range rep.usage {
			add(u)
		}
	}
	var list []Usage
	for c, teams := range totals {
		list = append(list, excess(Class(c), teams)...)
	}
	return list
}

// excess returns the excess of the teams of one class, ordered by name.
func excess(c Class, teams map[string]*total) []Usage {
	var all, weights float64
	for _, t := range teams {
		all += t.all
		weights += t.weight
	}
	var list []Usage
	for name, t := range teams {
		fair := all * t.weight / weights
		over := min(t.all-fair, t.all-t.local)
		if t.all > fairMargin*fair && over > 0 {
			list = append(list, Usage{Team: name, Class: c, Rate: over})
		}
	}
	slices.SortFunc(list, func(a, b Usage) int { return strings.Compare(a.Team, b.Team) })
	return list
}

// ChargeRemote charges a team for a cost that it caused at other instances.
// The charge does not raise the team's debt above the one that corresponds to
// maxRemoteDebt.
func (q *Queue) ChargeRemote(name string, weight float64, class Class, cost float64) {
	weight = positive(weight)
	c := &q.class[class]
	limit := c.rate.rate * maxRemoteDebt.Seconds()
	c.settle(name, max(cost, 0)/weight, limit/weight)
}

// positive returns the weight, or one if the weight is not above zero.
func positive(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
