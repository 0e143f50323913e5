package daemon

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/membudget"
)

const (
	// minMeteredBytes is the least limit on bodies that handlers read themselves:
	// those of messages between instances, which may be larger than callers' bodies.
	minMeteredBytes = 8 << 20
	// meteredFactor is the memory of such a body, in multiples of its size: the
	// buffer, which grows by doubling, and the decoded message.
	meteredFactor = 3
	// meteredTeam is the team of such bodies in the budget. No team has this name.
	meteredTeam = "/instances"
)

var errMemoryFull = errors.New("memory for requests is full")

// meterBody makes bodies that a handler reads count towards the memory for requests,
// until the handler returns.
func meterBody(h http.Handler, budget *membudget.Budget, maxBytes int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // connections of tests have none
		hold := budget.Open(meteredTeam, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
		defer hold.Close()
		metered := r.WithContext(r.Context()) // net/http keeps its own request
		metered.Body = &meteredBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxBytes), rc: rc, hold: hold}
		h.ServeHTTP(w, metered)
	})
}

// meteredBody is a body that counts towards the memory for requests.
type meteredBody struct {
	io.ReadCloser
	rc   *http.ResponseController
	hold *membudget.Hold
}

// Read reads from the body. It fails if what it has read does not fit the memory.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.hold.Grow(meteredFactor*int64(n)) {
		return 0, errMemoryFull
	}
	if err == io.EOF {
		b.hold.Complete()
		_ = b.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}
