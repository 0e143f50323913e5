package filter

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/view"
)

// Request is a caller's request on its way through the chain.
type Request struct {
	*http.Request
	// ID is this system's ID for the request, unique over instances.
	ID string
	// View is the snapshot that decisions are based on. Filters that waited
	// load a newer one.
	View *view.View
	// Service is what the caller asks for, and Path the path below it.
	Service config.Service
	Path    string
	// Route is what led to the service where operators state routes; its name
	// is empty elsewhere. Path is the whole path then.
	Route config.Route
	// Team and KeyDigest are set once the key was checked. Both are empty on
	// open services.
	Team      string
	KeyDigest string
	// Want is what the endpoint must report; see Select.
	Want dispatch.Want
	// Body is the whole body, read within the limit before the request is
	// queued.
	Body []byte
	// Arrived and Deadline are boot times.
	Arrived  time.Duration
	Deadline time.Duration
	// HandOverBy is the boot time after which the request must not be handed
	// over to an endpoint any more; zero means that only Deadline counts.
	HandOverBy time.Duration
	// Trail is what became of the request, for logs.
	Trail Trail
	// Log is the instance's log; Logger adds the request to it.
	Log *slog.Logger
}

// Trail says where a request went.
type Trail struct {
	// Attempts is the number of attempts that were begun, and Endpoint that of
	// the last one.
	Attempts int
	Endpoint string
	// Status is that of the endpoint's answer, and Waited the time until the
	// last attempt had its place.
	Status int
	Waited time.Duration
}

// Logger returns the log with what is known of the request. It is made when
// there is something to log, since most requests log nothing.
func (r *Request) Logger() *slog.Logger {
	return r.Log.With("request", r.ID, "team", r.Team)
}

// Handler serves a request.
type Handler interface {
	ServeHTTP(w http.ResponseWriter, r *Request) error
}

// HandlerFunc is a function as a Handler.
type HandlerFunc func(w http.ResponseWriter, r *Request) error

// ServeHTTP calls f.
func (f HandlerFunc) ServeHTTP(w http.ResponseWriter, r *Request) error {
	return f(w, r)
}

// Filter does one job on a request and passes it on.
type Filter interface {
	ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error
}

// Chain puts filters before a last handler.
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
