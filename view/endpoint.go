package view

import (
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/label"
)

// Endpoint is the state of an endpoint that request handling reads.
type Endpoint struct {
	Name       string
	DataCentre string
	Addr       string
	Tier       string
	Labels     label.Set
	// ChecksEpoch indicates that the endpoint refuses orders with an outdated
	// epoch (fencing token).
	ChecksEpoch bool
	// Leaving indicates that the endpoint gets no new work.
	Leaving bool
	// Incarnation identifies one start of the endpoint. Zero means unknown.
	Incarnation int64
	// Slots is the number of requests that the endpoint processes concurrently.
	// Zero means unknown.
	Slots int
	// Weights is the weight version of each model that an engine has loaded.
	Weights map[string]uint64
	// Load is the last load report, and LoadAt the boot time at which it was
	// taken.
	Load   engine.Load
	LoadAt time.Duration
	// OwnInFlightAtLoad is the number of requests that this instance had in
	// flight at the endpoint when the report was taken. Load includes them.
	OwnInFlightAtLoad int
	// Stats is shared by all Views that contain this endpoint.
	Stats *Stats

	// assignment determines the services that the endpoint belongs to.
	assignment assignment
}

// LoadReport is the last load report of an endpoint.
type LoadReport struct {
	Load engine.Load
	// At is the boot time at which the report was taken.
	At time.Duration
	// OwnInFlight is the number of requests that this instance had in flight at
	// the endpoint at that time.
	OwnInFlight int
}

// RemoteRequests returns the number of requests of other instances that the
// endpoint had according to its last report.
func (e *Endpoint) RemoteRequests() int {
	return max(e.Load.Running+e.Load.Waiting-e.OwnInFlightAtLoad, 0)
}

// Stats counts the attempts of this instance at one endpoint.
type Stats struct {
	// InFlight is the number of attempts in flight.
	InFlight atomic.Int64
	// Sent is the total number of attempts started.
	Sent atomic.Uint64
	// Failed is the number of attempts that ended without a complete answer.
	Failed atomic.Uint64
	// Reserved is set while the endpoint is reserved for a single request.
	Reserved atomic.Bool
	// RateLimited is set while the endpoint names a limit on requests per second.
	RateLimited atomic.Bool
}

func (e *Endpoint) setLoad(l LoadReport) {
	e.Load = l.Load
	e.LoadAt = l.At
	e.OwnInFlightAtLoad = l.OwnInFlight
}
