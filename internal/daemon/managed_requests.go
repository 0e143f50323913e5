package daemon

import (
	"net/http"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/view"
)

// requests serves requests by route.
func (m *Managed) requests(submit filter.HandlerFunc) http.Handler {
	attempt := m.callerAttempt(m.usage.Windows().Began)
	last := filter.HandlerFunc(func(w http.ResponseWriter, r *filter.Request) error {
		if r.Route.Kind == config.RouteRollout {
			return submit(w, r)
		}
		return attempt.ServeHTTP(w, r)
	})
	return m.entry(filter.Chain(last,
		m.admission(),
		filter.Limits{},
		filter.Route{},
		m.fresh(),
		filter.Identify{},
		m.body(),
		filter.Secret{},
	))
}

// keyed serves a call of the system's own that needs a key.
func (m *Managed) keyed(h filter.HandlerFunc) http.Handler {
	return m.entry(filter.Chain(h, m.admission(), filter.Limits{}, m.fresh(), filter.Identify{}, m.body()))
}

func (m *Managed) entry(chain filter.Handler) http.Handler {
	return &filter.Entry{
		Views:       m.views,
		Clock:       m.d.Clock,
		Log:         m.d.Log,
		Scope:       m.d.Scope,
		RequestTime: time.Duration(m.d.Settings.Limits.RequestTime),
		Elsewhere:   func() []string { return nil },
		Chain:       chain,
		Arrive:      m.d.Adapter.Arrive,
		Refuse:      m.d.Adapter.Refuse,
		Age:         m.intent.Age,
	}
}

// callerAttempt is the last handler of callers' requests. Began is told of each
// request of a team that began to run.
func (m *Managed) callerAttempt(began func(team string, at time.Time)) *filter.Attempt {
	a := m.attempt()
	a.Suspects = m.suspects
	a.RetryFaults = true
	a.Ran = func(r *filter.Request, at time.Time) {
		if r.Team != "" {
			began(r.Team, at)
		}
	}
	return a
}

// attempt is the last handler of requests of the system's own.
func (m *Managed) attempt() *filter.Attempt {
	return &filter.Attempt{
		Views:       m.views,
		Dispatcher:  m.dispatcher,
		Pool:        m.d.Pool,
		Revocations: m.revocations,
		Freshness:   m.intent,
		Clock:       m.d.Clock,
		Scope:       m.d.Scope,
		FirstByte:   time.Duration(m.d.Settings.Timing.FirstByte),
		Idle:        time.Duration(m.d.Settings.Timing.Idle),
		MaxAnswer:   m.d.Settings.Limits.AnswerBytes,
		KeepID:      true,
		Prepare: func(r *filter.Request, e *view.Endpoint, h http.Header) {
			m.d.Adapter.Prepare(r, e, r.Deadline-m.d.Clock.Now(), h)
		},
	}
}

func (m *Managed) admission() filter.Filter {
	return filter.Admission{
		InFlight:    &m.inFlight,
		MaxInFlight: int64(m.d.Settings.Limits.InFlight),
		Leaving:     m.leaving.Load,
		Draining:    m.draining.Load,
	}
}

func (m *Managed) fresh() filter.Filter {
	return filter.Fresh{Freshness: m.intent, Clock: m.d.Clock}
}

func (m *Managed) body() filter.Filter {
	return filter.Body{MaxBytes: m.d.Settings.Limits.BodyBytes, Timeout: bodyTimeout}
}

// ready reports whether this instance takes callers.
func (m *Managed) ready() bool {
	return !m.leaving.Load() && m.views.Load().Config.Version > 0 && m.presence.Synced() && m.intent.Fresh(m.d.Clock.Now())
}

// addresses lists the callers' addresses of instances, best first.
func (m *Managed) addresses(dataCentre string, most int) []string {
	var addrs []string
	for _, in := range rankEntries(m.views.Load(), m.d.Settings.Name, m.leaving.Load(), dataCentre, m.entryCount.Add(1)) {
		if len(addrs) < most {
			addrs = append(addrs, in.Addr)
		}
	}
	return addrs
}
