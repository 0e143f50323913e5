package filter

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/membudget"
	"github.com/cumincove/cumincove/view"
)

// Request is a caller's request as the chain processes it.
type Request struct {
	*http.Request
	// ID is this system's ID for the request, unique across instances.
	ID string
	// View is the snapshot that decisions are based on. Filters that have waited
	// load a newer one.
	View *view.View
	// Service is the service that the caller requests, and Path the path below
	// it.
	Service config.Service
	Path    string
	// Route is the route that matched the request. Its name is empty if the
	// service was selected without a route. With a route, Path is the full path
	// of the request.
	Route config.Route
	// Internal is set for requests that the system itself sends for a step.
	Internal bool
	// Step is set for requests that are ranked as the step that they belong to.
	Step *StepRank
	// Team and KeyDigest are set once the key has been checked. Both are empty
	// for open services.
	Team      string
	KeyDigest string
	// Requirements lists the properties that the endpoint must report; see Select.
	Requirements dispatch.Requirements
	// Body is the complete body, read up to the limit before the request is
	// queued.
	Body []byte
	// Memory is the memory that the body holds until the request ends; nil if no
	// budget applies.
	Memory *membudget.Hold
	// Arrived and Deadline are in boot time, that is, times of a clock.Clock.
	Arrived  time.Duration
	Deadline time.Duration
	// SendBy is the boot time after which the request must not be sent to an
	// endpoint; zero means that only Deadline applies.
	SendBy time.Duration
	// RequestLog records where the request was sent, for logs.
	RequestLog RequestLog
	// Log is the instance's log; Logger adds the request to it.
	Log *slog.Logger
}

// StepRank is what the rank of a step's requests depends on.
type StepRank struct {
	// Priority is the priority of the step; 0 is the highest.
	Priority int
	// Due is the boot time by which the step's results are needed.
	Due time.Duration
}

// RequestLog records where a request was sent, for the request log.
type RequestLog struct {
	// Attempts is the number of attempts started, and Endpoint is the endpoint of
	// the last one.
	Attempts int
	Endpoint string
	// Status is the status of the endpoint's response, and Waited the time from
	// arrival until the last attempt got its slot.
	Status int
	Waited time.Duration
}

// Logger returns the log with the request's attributes. It is created on
// demand, since most requests log nothing.
func (r *Request) Logger() *slog.Logger {
	return r.Log.With("request", r.ID, "team", r.Team)
}

// Handler serves a request.
type Handler interface {
	ServeHTTP(w http.ResponseWriter, r *Request) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(w http.ResponseWriter, r *Request) error

// ServeHTTP calls f.
func (f HandlerFunc) ServeHTTP(w http.ResponseWriter, r *Request) error {
	return f(w, r)
}

// Filter does one job for a request and calls the next Handler or returns an
// error.
type Filter interface {
	ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error
}

// Chain returns a Handler that runs the filters in order, and then last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = link{filter: filters[i], next: h}
	}
	return h
}

type link struct {
	filter Filter
	next   Handler
}

func (l link) ServeHTTP(w http.ResponseWriter, r *Request) error {
	return l.filter.ServeHTTP(w, r, l.next)
}
