package filter_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/view"
)

func viewWithRoutes(version uint64) *view.View {
	s := config.NewState()
	s.Version = version
	s.Services["app"] = config.Service{Meta: config.Meta{Name: "app"}}
	to := []config.RouteTarget{{Service: "app", Weight: 1}}
	s.Routes = []config.Route{
		{Name: "page", Host: "h", Path: "/page/", Kind: config.RouteIdempotent, Targets: to, Timeout: config.Duration(time.Second)},
		{Name: "once", Host: "h", Path: "/page/once/", Kind: config.RouteOnce, Targets: to, Open: true},
		{Name: "gone", Host: "h", Path: "/gone/", Targets: []config.RouteTarget{{Service: "none", Weight: 1}}},
	}
	v := &view.View{}
	v.SetConfig(s)
	return v
}

// TestRoute checks that the route with the longest matching path of the host is
// selected, that its kind decides whether the request is idempotent, and that its
// timeout bounds the request.
func TestRoute(t *testing.T) {
	const arrived, deadline = 5 * time.Second, 20 * time.Second
	for _, c := range []struct {
		name, host, path string
		version          uint64
		internal         bool
		code             code.Number
		want             string
		open, idempotent bool
		deadline         time.Duration
	}{
		{"page", "h", "/page/1", 1, false, code.OK, "page", false, true, 6 * time.Second},
		{"longest", "h", "/page/once/1", 1, false, code.OK, "once", true, false, deadline},
		{"internal", "h", "/page/1", 1, true, code.OK, "page", true, true, 6 * time.Second},
		{"other host", "g", "/page/1", 1, false, code.NoSuchRoute, "", false, false, 0},
		{"no route", "h", "/", 1, false, code.NoSuchRoute, "", false, false, 0},
		{"no service", "h", "/gone/1", 1, false, code.NoEndpoint, "", false, false, 0},
		{"no configuration", "h", "/", 0, false, code.NotFresh, "", false, false, 0},
	} {
		r := &filter.Request{Request: httptest.NewRequest(http.MethodPost, "http://"+c.host+c.path, nil), View: viewWithRoutes(c.version), Arrived: arrived, Deadline: deadline}
		var got *filter.Request
		err := filter.Route{Internal: c.internal}.ServeHTTP(nil, r, filter.HandlerFunc(func(_ http.ResponseWriter, r *filter.Request) error {
			got = r
			return nil
		}))
		var coded *code.Error
		if c.code != code.OK {
			if !errors.As(err, &coded) || coded.Number != c.code {
				t.Errorf("%s: %v, want code %d", c.name, err, c.code)
			}
			continue
		}
		if err != nil || got.Route.Name != c.want || got.Service.Open != c.open || got.Service.Idempotent != c.idempotent || got.Deadline != c.deadline || got.Path != c.path {
			t.Errorf("%s: %v, route %q, service %+v, deadline %v", c.name, err, got.Route.Name, got.Service, got.Deadline)
		}
	}
}
