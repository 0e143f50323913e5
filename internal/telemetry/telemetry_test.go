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

// TestTwoInstances: instances of one process don't share metrics.
func TestTwoInstances(t *testing.T) {
	a, serveA, closeA := telemetry.New("a")
	_, serveB, closeB := telemetry.New("b")
	a.Counter("requests").Inc(3)
	if err := closeA.Close(); err != nil { // reports what is left
		t.Fatal(err)
	}
	if err := closeB.Close(); err != nil {
		t.Fatal(err)
	}
	const want = `cumincove_requests{instance="a"} 3`
	if text := scrape(serveA); !strings.Contains(text, want) {
		t.Errorf("%s is missing in:\n%s", want, text)
	}
	if text := scrape(serveB); strings.Contains(text, "cumincove_requests") {
		t.Errorf("instance b has the metrics of a:\n%s", text)
	}
}

// TestTimersAreHistograms: a timer's values land in the bucket at or above them.
func TestTimersAreHistograms(t *testing.T) {
	scope, serve, closer := telemetry.New("a")
	scope.Timer("request").Record(9 * time.Millisecond)
	if err := closer.Close(); err != nil {
		t.Fatal(err)
	}
	text := scrape(serve)
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
