package dispatch

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestFastFailures measures the share of requests that goes to endpoints that
// return an error at once: one, or four, of nine. Such endpoints look lightly
// loaded, and must not get more requests than with a random choice. In the runs "as
// answers", faulty responses are reported to the dispatcher as Answered instead of
// Faulty.
func TestFastFailures(t *testing.T) {
	for _, faulty := range []int{1, 4} {
		requestShares := map[string]float64{}
		for _, name := range []string{"dispatch", "as answers", "random", "least reported"} {
			synctest.Test(t, func(t *testing.T) {
				sc := scenario{rate: steady, lag: time.Second}
				s := newDispatchSimulation(sc, simSeed)
				for _, f := range s.endpoints[:faulty] {
					f.faulty = true
				}
				s.faultyResult = Faulty
				if name == "as answers" {
					s.faultyResult = Answered
				}
				policies := map[string]policy{
					"dispatch": s.dispatchPolicy(), "as answers": s.dispatchPolicy(),
					"random":         s.directPolicy(func() int { return s.intN(simEndpoints) }),
					"least reported": s.directPolicy(s.leastReported()),
				}
				s.run(sc, policies[name])
				received := 0
				for _, f := range s.endpoints[:faulty] {
					received += f.received
				}
				requestShares[name] = float64(received) / float64(s.attempts)
				t.Logf("%d faulty, %-14s: %4.1f %% of the requests, %v", faulty, name, 100*requestShares[name], s.worst(0))
			})
		}
		if requestShares["dispatch"] > requestShares["random"] {
			t.Errorf("dispatch sends %v of the requests to faulty endpoints, a random choice %v", requestShares["dispatch"], requestShares["random"])
		}
	}
}
