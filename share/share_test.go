package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestDivide checks that no stream is left over while a step can use it, that
// no step gets more streams than it can use, that each step gets one if there
// are enough, and that the share of a step that could use more streams is at
// least proportional to its weight, compared with that of each other step.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var needs []Need
		usable, stepsWithNeed := 0, 0
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			n := Need{
				Samples:   rapid.IntRange(0, 9000).Draw(t, "samples"),
				Tokens:    rapid.Float64Range(0, 5000).Draw(t, "tokens"),
				Remaining: time.Duration(rapid.IntRange(-10, 720).Draw(t, "left")) * time.Second,
			}
			if n.Tokens < 1 {
				n.Tokens = 0
			}
			usable += n.Samples
			stepsWithNeed += min(n.Samples, 1)
			needs = append(needs, n)
		}
		streams := rapid.IntRange(0, 20000).Draw(t, "streams")
		shares, weights := Divide(streams, needs), weigh(needs)
		sum := 0
		for i, s := range shares {
			sum += s
			if s < 0 || s > needs[i].Samples || (s == 0 && needs[i].Samples > 0 && streams >= stepsWithNeed) {
				t.Fatalf("step %d gets %d streams for need %+v", i, s, needs[i])
			}
		}
		if sum != min(streams, usable) {
			t.Fatalf("Divide assigned %d of %d streams for %d samples", sum, streams, usable)
		}
		// Rounding and the minimum of one stream may shift up to one stream for
		// each step.
		slack := float64(len(needs))
		for i := range needs {
			for j := range needs {
				if shares[i] < needs[i].Samples && (float64(shares[i])+slack)*weights[j] < (float64(shares[j])-slack)*weights[i] {
					t.Fatalf("shares of %d streams are not proportional: %d for weight %g, %d for weight %g", streams, shares[i], weights[i], shares[j], weights[j])
				}
			}
		}
	})
}
