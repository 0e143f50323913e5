package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// period is the time over which the observations of an endpoint are averaged,
	// and periods the number of averages of which the median is used.
	period  = 500 * time.Millisecond
	periods = 9
	// minPeriods is the number of periods from which on an endpoint's speed is
	// available.
	minPeriods = 4
	// maxPeriodAge is the age from which on a period is not used any more. An endpoint
	// with little work has only some periods that are younger than fadeEnd.
	// periodHalfLife is the time in which the weight of a period halves.
	maxPeriodAge   = time.Minute
	periodHalfLife = 4 * time.Second
	// minEndpoints is the number of endpoints of a service that must be observed
	// before their median is meaningful. At least 1/minPart of the service's
	// endpoints must be observed, too.
	minEndpoints = 3
	minPart      = 4
	// maxEndpoints bounds the endpoints with observations, maxServices the services
	// and maxKinds the kinds of work of a service.
	maxEndpoints = 4096
	maxServices  = 256
	maxKinds     = 64
	// kindSamples is the number of observations of a kind of work from which on its
	// usual duration is available. baseSamples is the length of the running mean.
	kindSamples = 16
	baseSamples = 256
	// slopeDecay is the factor by which older observations of the effect of
	// concurrent work count less with each new one.
	slopeDecay = 0.995
	// maxDeviation bounds the deviation from the usual duration that a single
	// observation can show, as a natural logarithm.
	maxDeviation = 3
)

// Observation is a measurement of work at an endpoint.
type Observation struct {
	Service     string
	Endpoint    string
	Incarnation int64
	// Kind distinguishes work of different usual durations. An empty Kind means
	// that Work is proportional to the duration.
	Kind string
	// Work is the amount of work done in the time Took.
	Work float64
	Took time.Duration
	// Beside is the amount of other work that the endpoint processed at the same
	// time.
	Beside int
}

// service is what is known about the work of a service.
type service struct {
	// endpoints is the number of the service's endpoints.
	endpoints int
	// sxx and sxy are the decayed sums of the squares of the deviations of the
	// logarithm of the concurrent work from its mean at the same endpoint, and of
	// their products with the deviations of the logarithm of the rate.
	sxx, sxy float64
	kinds    map[string]*kind
}

// kind is the running mean of the logarithmic rate of a kind of work.
type kind struct {
	base  float64
	count int
}

// slope returns the effect of concurrent work on the rate, both as logarithms. More
// work never makes an endpoint faster, and divides its rate at most.
func (s *service) slope() float64 {
	if s.sxx == 0 {
		return 0
	}
	return min(max(s.sxy/s.sxx, -1), 0)
}

// endpoint contains the last observations of one endpoint.
type endpoint struct {
	service     string
	incarnation int64
	// x and y are running means of the logarithms of concurrent work and of the
	// rate, and count is the number of observations in them.
	x, y  float64
	count int
	// averages are the averages of the last periods, the newest last.
	averages []average
}

// average is the mean of the observations in one period, weighted by work. The
// effect of concurrent work is subtracted when the average is used, since its
// estimate may have changed.
type average struct {
	start              time.Duration
	sumX, sumY, weight float64
	count              int
}

// Observe records a measurement at time now. Measurements of an earlier incarnation
// than the last one of the endpoint are ignored.
func (e *Estimator) Observe(now time.Duration, o Observation) {
	if o.Work <= 0 || o.Took <= 0 || o.Endpoint == "" {
		return
	}
	s := e.service(o.Service)
	if s == nil {
		return
	}
	p := e.endpoint(o)
	if p == nil {
		return
	}
	x, y := math.Log(float64(max(o.Beside, 0)+1)), math.Log(o.Work/o.Took.Seconds())
	base, ok := s.usual(o.Kind, y)
	if !ok {
		return
	}
	y -= base
	s.observeSlope(p, x, y)
	weight := 1.0
	if o.Kind == "" {
		weight = o.Work
	}
	p.add(now, x, y, weight)
}

// service returns the state of a service, or nil if there are too many services.
func (e *Estimator) service(name string) *service {
	s := e.services[name]
	if s == nil && len(e.services) < maxServices {
		s = &service{kinds: map[string]*kind{}}
		e.services[name] = s
	}
	return s
}

// endpoint returns the state of the endpoint of an observation, or nil if the
// observation must be ignored.
func (e *Estimator) endpoint(o Observation) *endpoint {
	p := e.endpoints[o.Endpoint]
	switch {
	case p != nil && o.Incarnation < p.incarnation:
		return nil
	case p != nil && o.Incarnation == p.incarnation && o.Service == p.service:
		return p
	case p == nil && len(e.endpoints) >= maxEndpoints:
		return nil
	}
	p = &endpoint{service: o.Service, incarnation: o.Incarnation}
	e.endpoints[o.Endpoint] = p
	return p
}

// usual returns the usual logarithmic rate of a kind of work, and adds y to it. It
// returns false if the usual rate is not available yet.
func (s *service) usual(name string, y float64) (base float64, ok bool) {
	if name == "" {
		return 0, true
	}
	k := s.kinds[name]
	if k == nil {
		if len(s.kinds) >= maxKinds {
			return 0, false
		}
		k = &kind{base: y}
		s.kinds[name] = k
	}
	k.count = min(k.count+1, baseSamples)
	k.base += min(max(y-k.base, -maxDeviation), maxDeviation) / float64(k.count)
	return k.base, k.count >= kindSamples
}

// observeSlope updates the effect of concurrent work. Only the differences between
// observations of the same endpoint count, so that fast endpoints with much work
// don't hide it.
func (s *service) observeSlope(p *endpoint, x, y float64) {
	const meanSamples = 64
	if p.count > 0 {
		dx, dy := x-p.x, y-p.y
		s.sxx = slopeDecay*s.sxx + dx*dx
		s.sxy = slopeDecay*s.sxy + dx*min(max(dy, -maxDeviation), maxDeviation)
	}
	p.count = min(p.count+1, meanSamples)
	p.x += (x - p.x) / float64(p.count)
	p.y += (y - p.y) / float64(p.count)
}

// add adds an observation to the average of the current period.
func (p *endpoint) add(now time.Duration, x, y, weight float64) {
	if n := len(p.averages); n == 0 || now-p.averages[n-1].start >= period {
		p.averages = append(p.averages, average{start: now})
		if len(p.averages) > periods {
			p.averages = slices.Delete(p.averages, 0, 1)
		}
	}
	a := &p.averages[len(p.averages)-1]
	a.sumX += weight * x
	a.sumY += weight * y
	a.weight += weight
	a.count++
}

// rate returns the median of the last averages, in which older ones count less, and
// the time of the last one. It returns false if there are too few.
func (p *endpoint) rate(now time.Duration, slope float64) (median float64, at time.Duration, ok bool) {
	var list []weighted
	for _, a := range p.averages {
		if age := now - a.start; age <= maxPeriodAge {
			list = append(list, weighted{(a.sumY - slope*a.sumX) / a.weight, math.Exp2(-float64(age) / float64(periodHalfLife))})
		}
	}
	if len(list) < minPeriods {
		return 0, 0, false
	}
	return weightedMedian(list), p.averages[len(p.averages)-1].start, true
}

// weighted is a value with its weight.
type weighted struct{ value, weight float64 }

// weightedMedian returns the value at which half of the weight is reached, in a list
// that is not empty. It sorts the list.
func weightedMedian(list []weighted) float64 {
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.weight, b.weight))
	})
	half := 0.0
	for _, x := range list {
		half += x.weight / 2
	}
	for _, x := range list {
		if half -= x.weight; half <= 0 {
			return x.value
		}
	}
	return list[len(list)-1].value
}

// middle returns the median of a list that is not empty, and sorts it.
func middle(list []float64) float64 {
	slices.Sort(list)
	n := len(list)
	return (list[(n-1)/2] + list[n/2]) / 2
}
