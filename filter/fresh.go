package filter

import (
	"net/http"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
)

// Freshness reports whether this instance's configuration is current.
type Freshness interface {
	Fresh(now time.Duration) bool
}

// Fresh refuses requests to services that need a key while the configuration may
// be out of date.
type Fresh struct {
	Freshness Freshness
	Clock     clock.Clock
}

// ServeHTTP returns code.NotFresh, or calls next.
func (f Fresh) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	if !r.Service.Open && !f.Freshness.Fresh(f.Clock.Now()) {
		return code.New(code.NotFresh, "")
	}
	return next.ServeHTTP(w, r)
}
