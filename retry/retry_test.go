package retry

import (
	"fmt"
	"testing"
)

// TestAmplification checks that there are at most 1.1 attempts per request if
// every attempt fails, not counting the retries that the initially full budget
// allows.
func TestAmplification(t *testing.T) {
	var b Budget
	const requests = 100_000
	attempts := 0
	for range requests {
		b.RecordRequest()
		attempts++
		for b.Spend() {
			attempts++
		}
	}
	if got := float64(attempts-maxTokens) / requests; got > 1.1 {
		t.Fatalf("%v attempts per request, want at most 1.1", got)
	}
}

func ExampleBudget() {
	var b Budget
	n := 0
	for b.Spend() {
		n++
	}
	fmt.Println(n, "retries without a request")
	// Output: 10 retries without a request
}
