package weights

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/view"
)

// instantTransport responds to every request for a report at once, in the
// caller's goroutine.
type instantTransport struct{}

func (instantTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{engine.RequestIDHeader: r.Header[engine.RequestIDHeader]},
		Body:       io.NopCloser(strings.NewReader(`{"weight_version": 1}`)),
		Request:    r,
	}, nil
}

// TestConcurrentReports guards against unsynchronized access to the map of
// reports. The first replicas respond while updateReports still iterates over the
// others; the runtime ends a program that reads a map during a write to it.
func TestConcurrentReports(t *testing.T) {
	const replicas, rounds = 64, 50
	s := &dcWorker{o: Options{
		Clock:  clock.Boot{},
		Engine: &engine.Client{HTTP: &http.Client{Transport: instantTransport{}}, CallTimeout: time.Minute},
		Poll:   time.Minute,
	}}
	var list []*view.Endpoint
	for i := range replicas {
		list = append(list, &view.Endpoint{Name: fmt.Sprint(i), Addr: "10.0.0.1:1"})
	}
	for range rounds {
		sw := s.newSwap()
		sw.desiredVersion = 2
		s.updateReports(t.Context(), sw, list)
		if n := len(sw.replicas(list)); n != replicas {
			t.Fatalf("%d reports of %d replicas", n, replicas)
		}
	}
}
