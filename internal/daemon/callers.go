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

// callerHandler serves callers and trainers.
func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", d.serveEntries)
	mux.Handle(filter.ServicePrefix, d.serviceEntry())
	d.rollouts.routes(mux, d)
	mux.Handle("GET /v1/team", d.keyed(serveTeam))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		filter.WriteError(w, "", code.New(code.NoSuchRoute, "%s", r.URL.Path))
	})
	return mux
}

// serviceEntry is the chain that requests to services pass.
func (d *Daemon) serviceEntry() http.Handler {
	return d.entry(filter.Chain(
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
		filter.Deduplicate{Claims: d.dedup, Clock: d.d.Clock},
		&d.demand,
		filter.Usage{Counter: d.duties.usage.Counter()},
	))
}

// callerAttempt is the last handler of callers' requests.
func (d *Daemon) callerAttempt() *filter.Attempt {
	a := d.attempt()
	a.Suspects = d.suspects
	return a
}

// attempt is the last handler of requests of the system's own.
func (d *Daemon) attempt() *filter.Attempt {
	return &filter.Attempt{
		Views:       d.views,
		Dispatcher:  d.dispatcher,
		Pool:        d.pool,
		Revocations: d.revocations,
		Freshness:   d.configuration,
		Clock:       d.d.Clock,
		Scope:       d.d.Scope,
		FirstByte:   time.Duration(d.d.Settings.Timing.FirstByte),
		Idle:        time.Duration(d.d.Settings.Timing.Idle),
		MaxAnswer:   d.d.Settings.Limits.AnswerBytes,
	}
}

// keyed is the chain for routes of the system itself that need a key. The
// handler finds the team in the request.
func (d *Daemon) keyed(h filter.HandlerFunc) http.Handler {
	return d.entry(filter.Chain(h, d.admission(), d.fresh(), filter.Identify{}, d.body(), filter.Secret{},
		filter.Watch{Revocations: d.revocations}))
}

// serveTeam tells a caller whose key it has shown.
func serveTeam(w http.ResponseWriter, r *filter.Request) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(struct {
		Team string `json:"team"`
	}{r.Team})
}

func (d *Daemon) entry(chain filter.Handler) http.Handler {
	return &filter.Entry{
		Views:       d.views,
		Clock:       d.d.Clock,
		Log:         d.d.Log,
		Scope:       d.d.Scope,
		RequestTime: time.Duration(d.d.Settings.Limits.RequestTime),
		Elsewhere:   d.elsewhere,
		Chain:       chain,
	}
}

func (d *Daemon) admission() filter.Filter {
	return filter.Admission{
		InFlight:    &d.inFlight,
		MaxInFlight: int64(d.d.Settings.Limits.InFlight),
		Leaving:     d.leaving.Load,
		Draining:    d.draining.Load,
	}
}

func (d *Daemon) fresh() filter.Filter {
	return filter.Fresh{Freshness: d.configuration, Clock: d.d.Clock}
}

func (d *Daemon) body() filter.Filter {
	return filter.Body{MaxBytes: d.d.Settings.Limits.BodyBytes, Timeout: bodyTimeout}
}

func sortedMembers(v *view.View) []view.Member {
	list := make([]view.Member, 0, len(v.Members))
	for _, m := range v.Members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b view.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// peerHandler serves other instances.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(d.membership.Handler(d.configuration.State))
	d.rollouts.peerRoutes(mux)
	return mux
}
