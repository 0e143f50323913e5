package route

import "time"

const (
	// failuresToEject is the number of consecutive failures after which an
	// endpoint is ejected.
	failuresToEject = 3
	// firstEjection is the duration of the first ejection. The duration doubles
	// with each consecutive ejection, up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = 30 * time.Second
	// minInService is the fraction of a service's endpoints that is never
	// ejected.
	minInService = 0.5
	// rateSamples is the length of the running mean of outcomes, and
	// minRateSamples the number of outcomes from which on the mean is used.
	rateSamples    = 16
	minRateSamples = 8
	// faultyRate is the fraction of faulty outcomes from which on an endpoint is
	// ejected, if it is also at least faultyRatio times that of the service's
	// other endpoints.
	faultyRate  = 0.5
	faultyRatio = 2
)

// Health tracks the failures of one endpoint. The zero value is a healthy
// endpoint.
type Health struct {
	// consecutive is the number of consecutive failures.
	consecutive int
	// ejections is the number of ejections since the last answer.
	ejections int
	// until is the end of the last ejection.
	until time.Duration
	// rate is the running mean of faulty outcomes, and samples the number of
	// outcomes in it.
	rate    float64
	samples int
}

// Answered records a complete answer that is not a refusal.
func (h *Health) Answered() {
	h.consecutive, h.ejections = 0, 0
	h.outcome(0)
}

// Faulty records a complete answer that reports an internal error of the
// endpoint, which the request may have caused.
func (h *Health) Faulty() {
	h.consecutive = 0
	h.outcome(1)
}

func (h *Health) outcome(faulty float64) {
	h.samples = min(h.samples+1, rateSamples)
	h.rate += (faulty - h.rate) / float64(h.samples)
}

// FaultRate returns the fraction of recent outcomes that were faulty.
func (h *Health) FaultRate() float64 { return h.rate }

// Suspicious reports whether the outcomes are bad enough to eject the endpoint.
// The caller must then check with MuchWorseThan.
func (h *Health) Suspicious(now time.Duration) bool {
	return h.samples >= minRateSamples && h.rate >= faultyRate && now >= h.until
}

// MuchWorseThan reports whether the fault rate of the endpoint is much higher
// than that of the other endpoints. Others is their mean FaultRate. Because of
// this check, requests that fail at all endpoints eject none.
func (h *Health) MuchWorseThan(others float64) bool {
	return h.rate >= faultyRatio*others
}

// Failed records a failure at time now. It reports whether the endpoint should
// be ejected with Eject.
func (h *Health) Failed(now time.Duration) bool {
	h.consecutive++
	h.outcome(1)
	return h.consecutive >= failuresToEject && now >= h.until
}

// Eject ejects the endpoint at time now and returns the end of the ejection.
func (h *Health) Eject(now time.Duration) time.Duration {
	d := min(firstEjection<<min(h.ejections, 10), maxEjection)
	h.ejections++
	// A single failure after the ejection ejects the endpoint again.
	h.consecutive = failuresToEject - 1
	h.until = now + d
	return h.until
}

// Ejected reports whether the endpoint is ejected at time now.
func (h *Health) Ejected(now time.Duration) bool { return now < h.until }

// MayEject reports whether another endpoint of a service may be ejected, when
// ejected of total are ejected already.
func MayEject(ejected, total int) bool {
	return float64(total-ejected-1) >= minInService*float64(total) && total-ejected > 1
}
