// Package entries ranks the instances that a caller can connect to. Callers
// request such a list and try its entries in order.
//
// Each list contains several instances. The first one is chosen by weight: the
// fewer requests an instance has in flight, the more likely it is the first.
// Weights are bounded: callers keep a list for a long time and the load that
// they cause is reported late, so large differences between weights would make
// the load oscillate. If a caller states its data centre, the instances there
// come first. Leaving instances are omitted.
//
// The package is pure: no goroutines, no clock, no I/O.
package entries

import "math"

// Instance is an instance that callers can connect to.
type Instance struct {
	Name       string
	DataCentre string
	Addr       string
	// InFlight is the last reported number of requests in flight.
	InFlight int
	Leaving  bool
}

const (
	// minWeight and maxWeight bound the weight of an instance. An instance with
	// the mean load has weight one.
	minWeight = 0.5
	maxWeight = 2
	// weightExponent is the exponent with which the weight decreases with the
	// load.
	weightExponent = 0.5
)

// Rank returns the instances in the order in which a caller should try them.
// point must be in [0, 1) and selects the first instance. If the points of
// several calls are evenly distributed, callers are distributed in proportion
// to the weights. The input is not modified.
func Rank(list []Instance, dataCentre string, point float64) []Instance {
	var local, remote []Instance
	for _, in := range list {
		switch {
		case in.Leaving || in.Addr == "":
		case dataCentre != "" && in.DataCentre != dataCentre:
			remote = append(remote, in)
		default:
			local = append(local, in)
		}
	}
	return append(rank(local, point), rank(remote, point)...)
}

func rank(list []Instance, point float64) []Instance {
	sum := 0
	for _, in := range list {
		sum += in.InFlight
	}
	weights := make([]float64, len(list))
	total := 0.0
	for i, in := range list {
		weights[i] = weight(in.InFlight, sum, len(list))
		total += weights[i]
	}
	out := make([]Instance, 0, len(list))
	at := pick(weights, point*total)
	for k := range list {
		out = append(out, list[(at+k)%len(list)])
	}
	return out
}

// weight returns the weight of an instance, which decreases with a power of its
// load divided by the mean load. One request is added to both loads, so that
// differences between small loads have little effect.
func weight(inFlight, sum, n int) float64 {
	mean := float64(sum)/float64(n) + 1
	w := math.Pow(mean/(float64(inFlight)+1), weightExponent)
	return min(max(w, minWeight), maxWeight)
}

// pick returns the index of the weight that contains the position at, if the
// weights are laid end to end.
func pick(weights []float64, at float64) int {
	for i, w := range weights {
		if at < w {
			return i
		}
		at -= w
	}
	return 0
}

// goldenRatio is the step of the sequence of points. The first n multiples of it,
// modulo 1, are evenly distributed for every n.
const goldenRatio = 0.6180339887498949

// Point returns the n-th point of a sequence that starts at start. The points are
// evenly distributed for any length of the sequence.
func Point(start float64, n uint64) float64 {
	_, frac := math.Modf(start + float64(n%(1<<32))*goldenRatio)
	return frac
}
