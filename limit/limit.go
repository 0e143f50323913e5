// Package limit estimates how many requests an endpoint can process at once, and
// shares limits among instances.
//
// A Limiter compares the recent average latency with the minimum latency of a
// longer period. While the recent latency is below Tolerance times the minimum,
// the limit grows by its square root; otherwise it shrinks in proportion. The
// latency of requests that wait in a standing queue must not count as the
// minimum. The limit is therefore halved during a short part of each window,
// the probe, so that the queue drains. A refusal or a loss reduces the limit
// immediately. A new endpoint starts at Initial, so that its load rises slowly.
//
// The package has no goroutines, clocks or I/O. A Limiter needs a lock if
// several goroutines share it.
package limit

import (
	"math"
	"time"
)

// Options configures a Limiter.
type Options struct {
	Initial int
	Min     int
	Max     int
	// Tolerance is the factor by which latency may exceed the minimum latency
	// and still count as noise.
	Tolerance float64
}

// DefaultOptions returns the default Options for an endpoint.
func DefaultOptions() Options {
	return Options{Initial: 16, Min: 2, Max: 1_000, Tolerance: 1.5}
}

const (
	// recentSamples is the length of the recent average, in samples.
	recentSamples = 10
	// windowProbeLengths is the length of a window, in multiples of the length
	// of its probe.
	windowProbeLengths = 10
	// gain is the fraction of a change that is applied over a number of samples
	// equal to the limit.
	gain = 0.4
	// backoff is the factor applied to the limit after a refusal or a loss.
	backoff = 0.7
	// backoffPeriod is the minimum time between two such reductions, so that one
	// event that affects many requests counts once.
	backoffPeriod = time.Second
)

// Limiter adjusts the limit of one endpoint.
type Limiter struct {
	opt   Options
	limit float64
	// recentLatency is the average latency of recent samples, in seconds, and
	// recentCount is their number, at most recentSamples.
	recentLatency float64
	recentCount   int
	// minLatency and previousMinLatency are the minima of recentLatency in this
	// window and in the previous one.
	minLatency, previousMinLatency float64
	// windowLeft is the number of samples left in the window. probeLeft is the
	// number of samples left in the probe at its start, during which the limit is
	// halved.
	windowLeft, probeLeft int
	backoffAt             time.Duration
	backedOff             bool
}

// New returns a Limiter whose limit starts at opt.Initial.
func New(opt Options) *Limiter {
	return &Limiter{
		opt:                opt,
		limit:              float64(opt.Initial),
		minLatency:         math.Inf(1),
		previousMinLatency: math.Inf(1),
		windowLeft:         windowProbeLengths * recentSamples,
	}
}

// Limit returns how many requests may be in flight. It is at least one.
func (l *Limiter) Limit() int {
	n := int(l.limit)
	if l.probeLeft > 0 {
		n /= 2
	}
	return max(n, 1)
}

// Done records that a request received its response after latency, while
// inFlight requests, including itself, were in flight.
func (l *Limiter) Done(latency time.Duration, inFlight int) {
	tested := 2*inFlight >= l.Limit()
	l.recentCount = min(l.recentCount+1, recentSamples)
	l.recentLatency += (latency.Seconds() - l.recentLatency) / float64(l.recentCount)
	l.updateWindow()
	if !tested || l.probeLeft > 0 {
		return
	}
	gradient := 1.0
	if minLatency := min(l.minLatency, l.previousMinLatency); l.recentLatency > 0 {
		gradient = min(max(l.opt.Tolerance*minLatency/l.recentLatency, 0.5), 1)
	}
	next := l.limit*gradient + math.Sqrt(l.limit)
	l.setLimit(l.limit + gain*(next-l.limit)/l.limit)
}

// updateWindow adds a sample to the window. It updates the minimum latency and
// starts a new window if this one has ended.
func (l *Limiter) updateWindow() {
	if l.windowLeft == 0 {
		l.previousMinLatency = l.minLatency
		l.minLatency = math.Inf(1)
		l.probeLeft = int(l.limit) + 2*recentSamples
		l.windowLeft = windowProbeLengths * l.probeLeft
	}
	l.windowLeft--
	l.probeLeft = max(l.probeLeft-1, 0)
	if l.recentCount == recentSamples {
		l.minLatency = min(l.minLatency, l.recentLatency)
	}
}

// Dropped records at time now that the endpoint refused or lost a request.
func (l *Limiter) Dropped(now time.Duration) {
	if l.backedOff && now < l.backoffAt+backoffPeriod {
		return
	}
	l.backoffAt, l.backedOff = now, true
	l.setLimit(l.limit * backoff)
}

func (l *Limiter) setLimit(v float64) {
	l.limit = min(max(v, float64(l.opt.Min)), float64(l.opt.Max))
}
