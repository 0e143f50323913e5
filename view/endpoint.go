package view

import (
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/label"
)

// Endpoint is a back end as the path of a request sees it.
type Endpoint struct {
	Name       string
	DataCentre string
	Addr       string
	Tier       string
	Labels     label.Set
	// ChecksEpoch says that it refuses orders with an old fencing number.
	ChecksEpoch bool
	// Leaving endpoints get no new work.
	Leaving bool
	// Incarnation tells this start of the endpoint from others under its name;
	// zero is unknown.
	Incarnation int64
	// Slots is how many requests it works on at once; zero is unknown.
	Slots int
	// Weights is the weight version of each model that an engine holds.
	Weights map[string]uint64
	// Load is the last report, taken at LoadAt in boot time.
	Load   engine.Load
	LoadAt time.Duration
	// OwnAtLoad is how many of the report's requests came from this instance.
	OwnAtLoad int
	// Stats is shared by all Views that hold this endpoint.
	Stats *Stats

	// orderedFor is the service that the endpoint was ordered for; empty for
	// endpoints from the configuration, which selectors pick.
	orderedFor string
}

// LoadReport is an endpoint's last report and when it was taken, in boot
// time.
type LoadReport struct {
	Load engine.Load
	At   time.Duration
	// Own is how many requests this instance had in flight at the endpoint
	// then.
	Own int
}

// Others is how many requests of others the endpoint had by its last report.
func (e *Endpoint) Others() int {
	return max(e.Load.Running+e.Load.Waiting-e.OwnAtLoad, 0)
}

// Stats counts what this instance does at one endpoint.
type Stats struct {
	// InFlight is the number of attempts under way.
	InFlight atomic.Int64
	// Sent is the number of attempts ever started.
	Sent atomic.Uint64
	// Failed is the number of attempts that ended without a whole answer.
	Failed atomic.Uint64
	// Reserved is set while one request is to have the endpoint for itself.
	Reserved atomic.Bool
}

func (e *Endpoint) setLoad(l LoadReport) {
	e.Load = l.Load
	e.LoadAt = l.At
	e.OwnAtLoad = l.Own
}
