package filter

import (
	"net/http"
	"sync/atomic"

	"github.com/cumincove/cumincove/code"
)

// Admission bounds the requests in flight at this instance and refuses new
// ones while it shuts down.
type Admission struct {
	InFlight    *atomic.Int64
	MaxInFlight int64
	// Leaving reports whether callers must close their connections, and Draining
	// whether new requests are refused.
	Leaving  func() bool
	Draining func() bool
}

// ServeHTTP returns code.Draining or code.InstanceBusy, or calls next.
func (a Admission) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	if a.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if a.Draining() {
		return code.New(code.Draining, "")
	}
	defer a.InFlight.Add(-1)
	if a.InFlight.Add(1) > a.MaxInFlight {
		return code.New(code.InstanceBusy, "")
	}
	return next.ServeHTTP(w, r)
}
