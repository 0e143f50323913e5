package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// MinRate is the lowest rate of a limit, in requests per second. An endpoint that
// names a lower one, zero included, gets a request now and then, because only its
// answers show that the limit has ended.
const MinRate = 0.1

// ParseRate reads the values of a header that names a limit, in requests per
// second. Of several values the lowest one counts. Values that are not finite
// numbers, or are negative, are ignored; ok is false if no other value is left.
func ParseRate(values []string) (rate float64, ok bool) {
	rate = math.Inf(1)
	for _, v := range values {
		r, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil || r < 0 || math.IsNaN(r) || math.IsInf(r, 0) {
			continue
		}
		rate = min(rate, max(r, MinRate))
		ok = true
	}
	return rate, ok
}
