package steps_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumincove/cumincove/controller/steps"
	"github.com/cumincove/cumincove/internal/outbound"
	"github.com/cumincove/cumincove/view"
)

// TestEndlessResponseOfPeer guards against a response of another instance that is kept
// in memory although it does not end. What the server can send beyond the limit is what
// the connection's buffers take.
func TestEndlessResponseOfPeer(t *testing.T) {
	const maxSent = 24 << 20
	var sent atomic.Int64
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		for part := strings.Repeat("x", 64<<10); r.Context().Err() == nil && sent.Load() < 8*maxSent; {
			n, err := io.WriteString(w, part)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	defer peer.Close()
	h := steps.HandoffByModel{Peers: outbound.PeerClient(http.DefaultTransport)}
	m := view.Member{Name: "p", PeerAddr: strings.TrimPrefix(peer.URL, "http://")}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := h.Alive(ctx, m); err == nil {
		t.Error("the response was accepted")
	}
	if n := sent.Load(); n > maxSent {
		t.Errorf("the instance read on: %d bytes were sent, want at most %d", n, maxSent)
	}
}
