package speed

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// fadeStart is the age at which an estimate begins to fade to 1, and fadeEnd the
	// age at which it has no effect.
	fadeStart = 5 * time.Second
	fadeEnd   = 20 * time.Second
	// clearRatio is the factor by which a speed must differ from 1 to be reported.
	// Smaller differences have no effect: see Speed.
	clearRatio = 1.25
	// maxRatio bounds the factor by which a speed can differ from 1.
	maxRatio = 16
	// priorWeight is the weight of the assumption that an endpoint is as fast as the
	// median, in requests or units of work.
	priorWeight = 5
	// maxReported bounds the entries of a report, and maxReporters the instances
	// whose reports are kept.
	maxReported  = 16
	maxReporters = 1024
	// maxWeight bounds the weight of one instance's estimate.
	maxWeight = 9
)

// Entry is an instance's estimate of the speed of one endpoint.
type Entry struct {
	Incarnation int64
	// Speed is relative to the median of the service, with two significant digits.
	Speed float64
	// Weight grows with the number of observations.
	Weight float64
	// Age is the time since the last observation when the report was made.
	Age time.Duration
}

// Report contains the estimates of one instance that differ clearly from 1, or from
// those of other instances, by endpoint.
type Report map[string]Entry

// received is a report with the time at which it was received.
type received struct {
	at      time.Duration
	entries Report
}

// Estimator estimates the speeds of endpoints. It is not safe for concurrent use.
type Estimator struct {
	services  map[string]*service
	endpoints map[string]*endpoint
	reports   map[string]received // by instance
}

// New returns an Estimator without observations. All speeds are 1.
func New() *Estimator {
	return &Estimator{services: map[string]*service{}, endpoints: map[string]*endpoint{}, reports: map[string]received{}}
}

// SetEndpoints sets the numbers of endpoints by service. It forgets other services,
// and endpoints whose observations are too old to be used.
func (e *Estimator) SetEndpoints(now time.Duration, counts map[string]int) {
	for name, n := range counts {
		if s := e.service(name); s != nil {
			s.endpoints = n
		}
	}
	for name := range e.services {
		if _, ok := counts[name]; !ok {
			delete(e.services, name)
		}
	}
	for name, p := range e.endpoints {
		last := len(p.averages) - 1
		if e.services[p.service] == nil || last < 0 || now-p.averages[last].start > maxPeriodAge {
			delete(e.endpoints, name)
		}
	}
	for from, r := range e.reports {
		if now-r.at > fadeEnd {
			delete(e.reports, from)
		}
	}
}

// HandleReport replaces the report of another instance, unless it was received
// before the one that is known.
func (e *Estimator) HandleReport(at time.Duration, from string, report Report) {
	old, ok := e.reports[from]
	switch {
	case ok && at < old.at:
		return
	case len(report) == 0:
		delete(e.reports, from)
		return
	case !ok && len(e.reports) >= maxReporters:
		return
	}
	entries := Report{}
	for _, name := range firstNames(report) {
		if entry := report[name]; entry.valid() {
			entries[name] = entry
		}
	}
	e.reports[from] = received{at: at, entries: entries}
}

// firstNames returns up to maxReported names in a report, in a fixed order.
func firstNames(r Report) []string {
	names := make([]string, 0, len(r))
	for name := range r {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[:min(len(names), maxReported)]
}

// valid reports whether the entry can have been made by an Estimator. The written
// conditions are false for values that are not numbers.
func (x Entry) valid() bool {
	return x.Speed > 0 && x.Speed >= 0.9/maxRatio && x.Speed <= 1.1*maxRatio &&
		x.Weight > 0 && x.Weight <= maxWeight && x.Age >= 0 && x.Age <= fadeEnd
}

// estimate is one instance's estimate of a logarithmic speed.
type estimate struct {
	incarnation int64
	log, weight float64
	age         time.Duration
}

// own returns this instance's estimates by endpoint. Endpoints that were not measured
// for fadeEnd don't count in the median: the work of all may take longer since.
func (e *Estimator) own(now time.Duration) map[string]estimate {
	rates := map[string][]float64{}
	list := map[string]estimate{}
	for name, p := range e.endpoints {
		if rate, at, ok := p.rate(now, e.services[p.service].slope()); ok && now-at <= fadeEnd {
			rates[p.service] = append(rates[p.service], rate)
			list[name] = estimate{incarnation: p.incarnation, log: rate, weight: p.weight(), age: now - at}
		}
	}
	medians := map[string]float64{}
	for service, r := range rates {
		if len(r) >= minEndpoints && minPart*len(r) >= e.services[service].endpoints {
			medians[service] = middle(r)
		}
	}
	for name, x := range list {
		median, ok := medians[e.endpoints[name].service]
		if !ok {
			delete(list, name)
			continue
		}
		limit := math.Log(maxRatio)
		x.log = e.endpoints[name].confidence() * min(max(x.log-median, -limit), limit)
		list[name] = x
	}
	return list
}

// weight returns the weight of the endpoint's observations.
func (p *endpoint) weight() float64 {
	n := 0
	for _, a := range p.averages {
		n += a.count
	}
	return min(math.Ceil(math.Sqrt(float64(n))), maxWeight)
}

// confidence returns the part of a deviation from the median that is taken for the
// endpoint's: with few observations it may be due to the spread of the durations.
func (p *endpoint) confidence() float64 {
	n := 0.0
	for _, a := range p.averages {
		n += a.weight
	}
	return n / (n + priorWeight)
}

// Speed is the estimated speed of an endpoint.
type Speed struct {
	Incarnation int64
	// Value is the speed relative to the median of the service.
	Value float64
}

// Speeds returns the speeds that differ clearly from 1, by endpoint. It merges the
// estimates of all instances by the weighted median, in which older estimates
// count less.
func (e *Estimator) Speeds(now time.Duration) map[string]Speed {
	return speedsOf(e.merged(now, e.own(now)))
}

// SpeedsAndReport returns the results of Speeds and Report, in the time of one of them.
func (e *Estimator) SpeedsAndReport(now time.Duration) (map[string]Speed, Report) {
	own := e.own(now)
	merged := e.merged(now, own)
	return speedsOf(merged), reportOf(own, merged)
}

func speedsOf(merged map[string]estimate) map[string]Speed {
	speeds := map[string]Speed{}
	for name, x := range merged {
		if differs(x.log) {
			speeds[name] = Speed{Incarnation: x.incarnation, Value: math.Exp(x.log)}
		}
	}
	return speeds
}

// differs reports whether a logarithmic speed differs clearly from that of the median.
func differs(log float64) bool { return math.Abs(log) >= math.Log(clearRatio) }

// Report returns this instance's report. An endpoint is included if its speed
// differs clearly from 1, or if other instances report so: without the
// contradiction the endpoint's estimate would come only from the instances that
// observed noise.
func (e *Estimator) Report(now time.Duration) Report {
	own := e.own(now)
	return reportOf(own, e.merged(now, own))
}

func reportOf(own, merged map[string]estimate) Report {
	var names []string
	for name, x := range own {
		if x.age < fadeStart && (differs(x.log) || differs(merged[name].log)) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(math.Abs(own[b].log), math.Abs(own[a].log)), strings.Compare(a, b))
	})
	report := Report{}
	for _, name := range names[:min(len(names), maxReported)] {
		x := own[name]
		report[name] = Entry{Incarnation: x.incarnation, Speed: round(math.Exp(x.log)), Weight: x.weight, Age: x.age}
	}
	return report
}

// round rounds to two significant digits.
func round(v float64) float64 {
	digit := math.Pow(10, math.Floor(math.Log10(v))-1)
	return math.Round(v/digit) * digit
}

// merged merges this instance's estimates with the reports of the others.
func (e *Estimator) merged(now time.Duration, own map[string]estimate) map[string]estimate {
	all := map[string][]estimate{}
	for name, x := range own {
		all[name] = append(all[name], x)
	}
	for _, r := range e.reports {
		for name, entry := range r.entries {
			x := estimate{incarnation: entry.Incarnation, log: math.Log(entry.Speed), weight: entry.Weight, age: now - r.at + entry.Age}
			all[name] = append(all[name], x)
		}
	}
	merged := map[string]estimate{}
	for name, list := range all {
		if x, ok := merge(list, e.incarnation(name)); ok {
			merged[name] = x
		}
	}
	return merged
}

// incarnation returns the endpoint's incarnation that this instance observed last.
func (e *Estimator) incarnation(name string) int64 {
	if p := e.endpoints[name]; p != nil {
		return p.incarnation
	}
	return 0
}

// merge returns the weighted median of the estimates of the newest incarnation, which
// is at least newest. It fades with the age of the youngest estimate.
func merge(list []estimate, newest int64) (estimate, bool) {
	for _, x := range list {
		newest = max(newest, x.incarnation)
	}
	best := 0.0
	var used []weighted
	for _, x := range list {
		if f := fade(x.age); f > 0 && x.incarnation == newest {
			best = max(best, f)
			used = append(used, weighted{x.log, x.weight * f})
		}
	}
	if len(used) == 0 {
		return estimate{}, false
	}
	return estimate{incarnation: newest, log: best * weightedMedian(used)}, true
}

// fade returns the part of an estimate that remains at an age.
func fade(age time.Duration) float64 {
	return min(max(float64(fadeEnd-age)/float64(fadeEnd-fadeStart), 0), 1)
}
