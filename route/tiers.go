package route

const (
	// fastRatio is the fraction of the fastest endpoint's speed from which on an
	// endpoint counts as fast.
	fastRatio = 0.5
	// minFast is the smallest fraction of a service's endpoints that must be fast for
	// them to be preferred. Work would otherwise concentrate on too few endpoints.
	minFast = 0.25
)

// Fast returns which endpoints are about as fast as the fastest one, if the others are
// much slower. It returns nil if the speeds differ little, or if too few endpoints are
// fast: they must then be compared by their load. Speeds of zero are unknown.
//
// A fast endpoint with room ends a request earlier than an idle one that is much
// slower, however the load is distributed. So the slow ones get work only when the
// fast ones have no room.
func Fast(speeds []float64) []bool {
	fastest := 0.0
	for _, s := range speeds {
		fastest = max(fastest, known(s))
	}
	fast := make([]bool, len(speeds))
	n := 0
	for i, s := range speeds {
		if fast[i] = known(s) >= fastRatio*fastest; fast[i] {
			n++
		}
	}
	if n == len(speeds) || float64(n) < minFast*float64(len(speeds)) {
		return nil
	}
	return fast
}

// known returns a speed, or that of the median if the speed is unknown.
func known(speed float64) float64 {
	if speed <= 0 {
		return 1
	}
	return speed
}
