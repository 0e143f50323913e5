package daemon

import (
	"net/http"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/view"
)

// requests returns a handler that serves requests by route. It passes requests
// for rollout routes to submit.
func (m *Managed) requests(submit filter.HandlerFunc) http.Handler {
	attempt := m.callerAttempt(m.usage.Windows().CountStarted)
	last := filter.HandlerFunc(func(w http.ResponseWriter, r *filter.Request) error {
		if r.Route.Kind == config.RouteRollout {
			return submit(w, r)
		}
		return attempt.ServeHTTP(w, r)
	})
	return m.entryHandler(filter.Chain(last,
		m.admission(),
		filter.Limits{},
		filter.Route{},
		m.fresh(),
		filter.Identify{},
		m.body(),
		filter.Secret{},
	))
}

// stepRequests returns a handler for one of the system's own routes, at which callers
// use their steps. It passes on requests without a key, because steps of open routes
// belong to no team.
func (m *Managed) stepRequests(h filter.HandlerFunc) http.Handler {
	return m.entryHandler(filter.Chain(h, m.admission(), filter.Limits{}, m.fresh(), filter.Identify{Optional: true}, m.body()))
}

func (m *Managed) entryHandler(chain filter.Handler) http.Handler {
	return &filter.Entry{
		Views:          m.views,
		Clock:          m.deps.Clock,
		Log:            m.deps.Log,
		Scope:          m.deps.Scope,
		RequestTime:    time.Duration(m.deps.Settings.Limits.RequestTime),
		OtherInstances: func() []string { return nil },
		Chain:          chain,
		IDAndTimeout:   m.deps.Adapter.IDAndTimeout,
		HandleError:    m.deps.Adapter.HandleError,
		ConfigAge:      m.intent.Age,
	}
}

// callerAttempt returns the last handler of the chain for callers' requests. It
// calls onStart for each request of a team that starts to run.
func (m *Managed) callerAttempt(onStart func(team string, at time.Time)) *filter.Attempt {
	a := m.attempt()
	a.Suspects = m.suspects
	a.EndBy = m.endBy
	a.RetryInternalErrors = true
	a.OnRan = func(r *filter.Request, at time.Time) {
		if r.Team != "" {
			onStart(r.Team, at)
		}
	}
	return a
}

// attempt returns the last handler of the chain for requests that the system
// itself sends.
func (m *Managed) attempt() *filter.Attempt {
	return &filter.Attempt{
		Views:            m.views,
		Dispatcher:       m.dispatcher,
		Pool:             m.deps.Pool,
		Revocations:      m.revocations,
		Freshness:        m.intent,
		Clock:            m.deps.Clock,
		Scope:            m.deps.Scope,
		FirstByteTimeout: time.Duration(m.deps.Settings.Timing.FirstByte),
		IdleTimeout:      time.Duration(m.deps.Settings.Timing.Idle),
		MaxResponseBytes: m.deps.Settings.Limits.AnswerBytes,
		KeepID:           true,
		Prepare: func(r *filter.Request, e *view.Endpoint, h http.Header) {
			m.deps.Adapter.SetAttemptHeader(r, e, r.Deadline-m.deps.Clock.Now(), h)
		},
	}
}

func (m *Managed) admission() filter.Filter {
	return filter.Admission{
		InFlight:    &m.inFlight,
		MaxInFlight: int64(m.deps.Settings.Limits.InFlight),
		Leaving:     m.leaving.Load,
		Draining:    m.draining.Load,
	}
}

func (m *Managed) fresh() filter.Filter {
	return filter.Fresh{Freshness: m.intent, Clock: m.deps.Clock}
}

func (m *Managed) body() filter.Filter {
	l := m.deps.Settings.Limits
	return filter.Body{MaxBytes: l.BodyBytes, Timeout: bodyTimeout, Rate: l.BodyRate, Budget: m.budget}
}

// ready reports whether this instance accepts callers.
func (m *Managed) ready() bool {
	return !m.leaving.Load() && m.views.Load().Config.Version > 0 && m.presence.Synced() && m.intent.Fresh(m.deps.Clock.Now())
}

// addresses returns up to limit addresses at which instances serve callers. The
// best one for a caller in the data centre is first.
func (m *Managed) addresses(dataCentre string, limit int) []string {
	var addrs []string
	for _, in := range rankEntries(m.views.Load(), m.deps.Settings.Name, m.leaving.Load(), dataCentre, m.entryCount.Add(1)) {
		if len(addrs) < limit {
			addrs = append(addrs, in.Addr)
		}
	}
	return addrs
}
