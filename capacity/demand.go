package capacity

import (
	"hash/fnv"
	"time"
)

const (
	// reportAge is the maximum age of a fresh report with few instances.
	reportAge = 15 * time.Second
	// reportAgePerInstance is added to reportAge for each instance, because
	// reports arrive less often the more instances there are.
	reportAgePerInstance = 400 * time.Millisecond
	// recentAge is the maximum age of the reports that an estimate is based on,
	// and minRecentReports the number of them that it requires.
	recentAge        = 10 * time.Second
	minRecentReports = 16
	// MaxServices bounds the number of services in a report.
	MaxServices = 32
)

// Load is the number of running and waiting requests of a service.
type Load struct {
	Interactive int
	Rollout     int
}

// Add returns the sum of two loads.
func (l Load) Add(m Load) Load {
	return Load{Interactive: l.Interactive + m.Interactive, Rollout: l.Rollout + m.Rollout}
}

// scale returns the load multiplied by n/of, rounded up.
func (l Load) scale(n, of int) Load {
	return Load{Interactive: ceilDiv(l.Interactive*n, of), Rollout: ceilDiv(l.Rollout*n, of)}
}

// ServiceID identifies a service in a demand report.
type ServiceID uint32

// ServiceIDOf returns the ServiceID for a service's name.
func ServiceIDOf(service string) ServiceID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service)) // never fails
	return ServiceID(h.Sum32())
}

// Report is one instance's report of its own demand.
type Report struct {
	// Seq differs from the Seq of the instance's previous report.
	Seq   uint32
	Loads map[ServiceID]Load
	// Truncated means that Loads omits services, because the instance has more
	// than MaxServices.
	Truncated bool
}

// InstanceReport is an instance and its latest demand report.
type InstanceReport struct {
	Name        string
	Incarnation uint64
	// Report is the latest report; nil if there is none.
	Report *Report
	// Unconfirmed means that nothing was received from the instance, or that it is
	// suspected to be down, so that the report may be outdated.
	Unconfirmed bool
}

// Demand is the demand for a service at all instances.
type Demand struct {
	Load
	// Complete means that a fresh report of every instance is included. While it is
	// false, no count is lowered.
	Complete bool
}

// Collector sums the demand reports of all instances. The zero value is ready for
// use.
type Collector struct {
	latest map[string]latestReport
	// complete means that latest has a fresh report of every instance.
	complete bool
	// recent is the number of recent reports and recentLoads their sum. all is
	// the sum of all latest reports.
	recent      int
	recentLoads map[ServiceID]Load
	all         map[ServiceID]Load
}

// latestReport is the latest demand report of an instance.
type latestReport struct {
	incarnation uint64
	report      Report
	// receivedAt is when the report was first observed. ageKnown is false for the
	// first report of an incarnation, which may be of any age.
	receivedAt time.Duration
	ageKnown   bool
}

// Step updates the Collector with the reports of all instances that may have
// callers. It deletes instances that are no longer in the list. An instance that
// has never sent a report makes the demand incomplete. An old report still counts
// in the sum.
func (c *Collector) Step(now time.Duration, list []InstanceReport) {
	next := make(map[string]latestReport, len(list))
	*c = Collector{
		latest:      c.latest,
		complete:    len(list) > 0,
		recentLoads: map[ServiceID]Load{},
		all:         map[ServiceID]Load{},
	}
	maxAge := reportAge + time.Duration(len(list))*reportAgePerInstance
	for _, instance := range list {
		r, ok := c.receive(now, instance)
		if !ok {
			c.complete = false
			continue
		}
		next[instance.Name] = r
		c.add(now, maxAge, r)
	}
	c.latest = next
}

// receive returns the latest report of an instance, which may be one from an
// earlier Step. It returns false if there never was one.
func (c *Collector) receive(now time.Duration, instance InstanceReport) (latestReport, bool) {
	r, ok := c.latest[instance.Name]
	if instance.Report == nil {
		return r, ok
	}
	same := ok && r.incarnation == instance.Incarnation
	if same && r.report.Seq == instance.Report.Seq {
		return r, true
	}
	return latestReport{incarnation: instance.Incarnation, report: *instance.Report, receivedAt: now, ageKnown: same}, true
}

func (c *Collector) add(now, maxAge time.Duration, r latestReport) {
	age := now - r.receivedAt
	c.complete = c.complete && r.ageKnown && age <= maxAge && !r.report.Truncated
	recent := r.ageKnown && age <= recentAge
	if recent {
		c.recent++
	}
	for id, l := range r.report.Loads {
		c.all[id] = c.all[id].Add(l)
		if recent {
			c.recentLoads[id] = c.recentLoads[id].Add(l)
		}
	}
}

// Demand returns the demand for a service. With many instances, whose reports
// arrive rarely, it also extrapolates from the recent reports and returns the
// larger figure, so that a burst is detected early.
func (c *Collector) Demand(service string) Demand {
	id := ServiceIDOf(service)
	d := Demand{Load: c.all[id], Complete: c.complete}
	if c.recent >= minRecentReports && c.recent < len(c.latest) {
		estimate := c.recentLoads[id].scale(len(c.latest), c.recent)
		d.Interactive = max(d.Interactive, estimate.Interactive)
		d.Rollout = max(d.Rollout, estimate.Rollout)
	}
	return d
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
