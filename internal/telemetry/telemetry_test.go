package telemetry_test

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/internal/telemetry"
)

// TestInstancesDoNotShareMetrics checks that instances in one process do not
// share metrics.
func TestInstancesDoNotShareMetrics(t *testing.T) {
	a, handlerA, closerA := telemetry.NewMetrics("a")
	_, handlerB, closerB := telemetry.NewMetrics("b")
	a.Counter("requests").Inc(3)
	if err := closerA.Close(); err != nil { // reports the remaining values
		t.Fatal(err)
	}
	if err := closerB.Close(); err != nil {
		t.Fatal(err)
	}
	const want = `cumincove_requests{instance="a"} 3`
	if text := scrape(handlerA); !strings.Contains(text, want) {
		t.Errorf("%s is missing in:\n%s", want, text)
	}
	if text := scrape(handlerB); strings.Contains(text, "cumincove_requests") {
		t.Errorf("instance b has the metrics of a:\n%s", text)
	}
}

// TestTimersAreHistograms checks that a value of a timer is counted in the
// histogram bucket whose bound is next above the value, and not in the bucket
// below it.
func TestTimersAreHistograms(t *testing.T) {
	scope, handler, closer := telemetry.NewMetrics("a")
	scope.Timer("request").Record(9 * time.Millisecond)
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	text := scrape(handler)
	for _, want := range []string{
		`cumincove_request_bucket\{instance="a",le="0.008[0-9]*"\} 0`,
		`cumincove_request_bucket\{instance="a",le="0.0113[0-9]*"\} 1`,
		`cumincove_request_count\{instance="a"\} 1`,
	} {
		if !regexp.MustCompile(want).MatchString(text) {
			t.Errorf("%s is missing in:\n%s", want, text)
		}
	}
}

func scrape(h http.Handler) string {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}
