package daemon

import (
	"bytes"
	"context"
	"net/http"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/controller/rollout"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/view"
)

// serviceCaller returns the function that calls services for steps. Calls pass
// through the filters that concern the team and the dispatch to endpoints, and
// count as usage of the team.
func (d *Daemon) serviceCaller() func(ctx context.Context, c rollout.ServiceCall) (int, []byte, error) {
	chain := filter.Chain(
		d.attempt(),
		d.fresh(),
		filter.Authorise{},
		d.teamLimit,
		&d.demand,
		filter.Usage{Counter: d.duties.usage.Counter()},
	)
	return func(ctx context.Context, c rollout.ServiceCall) (int, []byte, error) {
		ctx, cancel := context.WithTimeout(ctx, c.Deadline-d.deps.Clock.Now())
		defer cancel()
		r, err := d.serviceRequest(ctx, c)
		if err != nil {
			return 0, nil, err
		}
		w := &responseBuffer{header: http.Header{}}
		err = chain.ServeHTTP(w, r)
		return w.status, w.body.Bytes(), err
	}
}

// serviceRequest returns the request for a call, or an error if the service or
// the step's key is not valid any longer.
func (d *Daemon) serviceRequest(ctx context.Context, c rollout.ServiceCall) (*filter.Request, error) {
	v := d.views.Load()
	s, ok := v.Config.Services[c.Service]
	if !ok {
		return nil, code.New(code.NoSuchRoute, "service %q", c.Service)
	}
	path := c.Path
	if path == "" {
		path = "/"
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, filter.ServicePrefix+c.Service+path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, code.Wrap(code.NoSuchRoute, err, "%v", err)
	}
	hr.Header.Set("Content-Type", "application/json")
	r := &filter.Request{
		Request:  hr,
		ID:       c.ID,
		View:     v,
		Service:  s,
		Path:     path,
		Body:     c.Body,
		Arrived:  d.deps.Clock.Now(),
		Deadline: c.Deadline,
		Log:      d.deps.Log,
	}
	if s.Open {
		return r, nil
	}
	r.Team, r.KeyDigest = c.Team, c.KeyDigest
	return r, checkKey(v, c)
}

// checkKey returns an error unless the step's key still exists, belongs to its
// team and is not withdrawn.
func checkKey(v *view.View, c rollout.ServiceCall) error {
	switch k, ok := v.KeyByDigest(c.KeyDigest); {
	case !ok || k.Team != c.Team:
		return code.New(code.KeyUnknown, "")
	case k.Withdrawn:
		return code.New(code.KeyWithdrawn, "key %q", k.Name)
	}
	return nil
}

// responseBuffer stores a response. filter.Attempt bounds its size.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *responseBuffer) Header() http.Header { return b.header }

func (b *responseBuffer) WriteHeader(status int) { b.status = status }

func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }
