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

// atOnce answers every request for a report before its caller waits.
type atOnce struct{}

func (atOnce) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{engine.RequestIDHeader: r.Header[engine.RequestIDHeader]},
		Body:       io.NopCloser(strings.NewReader(`{"weight_version": 1}`)),
		Request:    r,
	}, nil
}

// TestReportsWhileAsking asks replicas of which the first ones answer while
// the rest is still looked at. The runtime ends a program that reads a map
// beside a write to it.
func TestReportsWhileAsking(t *testing.T) {
	const replicas, rounds = 64, 50
	s := &site{o: Options{
		Clock:  clock.Boot{},
		Engine: &engine.Client{HTTP: &http.Client{Transport: atOnce{}}, Timeout: time.Minute},
		Poll:   time.Minute,
	}}
	var list []*view.Endpoint
	for i := range replicas {
		list = append(list, &view.Endpoint{Name: fmt.Sprint(i), Addr: "10.0.0.1:1"})
	}
	for range rounds {
		sw := s.newSwap()
		sw.want = 2
		s.read(t.Context(), sw, list)
		if n := len(sw.replicas(list)); n != replicas {
			t.Fatalf("%d reports of %d replicas", n, replicas)
		}
	}
}
