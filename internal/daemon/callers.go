package daemon

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/view"
)

// callerHandler returns the handler of requests of callers and trainers.
func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", d.serveEntries)
	mux.Handle(filter.ServicePrefix, d.serviceHandler())
	d.rollouts.addRoutes(mux, d)
	mux.Handle("GET /v1/team", d.requireKey(serveTeam))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		filter.WriteError(w, "", code.New(code.NoSuchRoute, "%s", r.URL.Path))
	})
	return mux
}

// serviceHandler returns the filter chain for requests to services.
func (d *Daemon) serviceHandler() http.Handler {
	return d.entryHandler(filter.Chain(
		d.callerAttempt(),
		d.admission(),
		filter.Service{},
		d.fresh(),
		filter.Identify{},
		filter.Authorise{},
		filter.Select{},
		d.teamLimit,
		d.body(),
		filter.Secret{},
		filter.Deduplicate{Claims: d.dedup, Clock: d.deps.Clock},
		&d.demand,
		filter.Usage{Counter: d.duties.usage.Counter()},
	))
}

// callerAttempt returns the last handler of the chain for callers' requests.
func (d *Daemon) callerAttempt() *filter.Attempt {
	a := d.attempt()
	a.Suspects = d.suspects
	return a
}

// attempt returns the last handler of the chain for requests that the system
// itself sends.
func (d *Daemon) attempt() *filter.Attempt {
	return &filter.Attempt{
		Views:            d.views,
		Dispatcher:       d.dispatcher,
		Pool:             d.pool,
		Revocations:      d.revocations,
		Freshness:        d.configuration,
		Clock:            d.deps.Clock,
		Scope:            d.deps.Scope,
		FirstByteTimeout: time.Duration(d.deps.Settings.Timing.FirstByte),
		IdleTimeout:      time.Duration(d.deps.Settings.Timing.Idle),
		MaxResponseBytes: d.deps.Settings.Limits.AnswerBytes,
	}
}

// requireKey returns the filter chain for the system's own routes that require a
// key. It sets the request's team.
func (d *Daemon) requireKey(h filter.HandlerFunc) http.Handler {
	return d.entryHandler(filter.Chain(h, d.admission(), d.fresh(), filter.Identify{}, d.body(), filter.Secret{},
		filter.StopOnRevocation{Revocations: d.revocations}))
}

// serveTeam returns the team of the caller's key.
func serveTeam(w http.ResponseWriter, r *filter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(struct {
		Team string `json:"team"`
	}{r.Team})
}

func (d *Daemon) entryHandler(chain filter.Handler) http.Handler {
	return &filter.Entry{
		Views:          d.views,
		Clock:          d.deps.Clock,
		Log:            d.deps.Log,
		Scope:          d.deps.Scope,
		RequestTime:    time.Duration(d.deps.Settings.Limits.RequestTime),
		OtherInstances: d.otherAddresses,
		Chain:          chain,
	}
}

func (d *Daemon) admission() filter.Filter {
	return filter.Admission{
		InFlight:    &d.inFlight,
		MaxInFlight: int64(d.deps.Settings.Limits.InFlight),
		Leaving:     d.leaving.Load,
		Draining:    d.draining.Load,
	}
}

func (d *Daemon) fresh() filter.Filter {
	return filter.Fresh{Freshness: d.configuration, Clock: d.deps.Clock}
}

func (d *Daemon) body() filter.Filter {
	l := d.deps.Settings.Limits
	return filter.Body{MaxBytes: l.BodyBytes, Timeout: bodyTimeout, Rate: l.BodyRate, Budget: d.budget}
}

// sortedMembers returns the members in order of name.
func sortedMembers(v *view.View) []view.Member {
	list := make([]view.Member, 0, len(v.Members))
	for _, m := range v.Members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b view.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// peerHandler returns the handler of requests of other instances.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(d.membership.Handler(d.configuration.State))
	d.rollouts.addPeerRoutes(mux)
	return mux
}
