package filter

import (
	"net/http"
	"net/url"
	"testing"

	"github.com/cumincove/cumincove/config"
)

// TestRequestIsKnownWhenItsRouteLeadsElsewhere: it crashes endpoints of the next
// service just as well.
func TestRequestIsKnownWhenItsRouteLeadsElsewhere(t *testing.T) {
	request := func(host, service string) *Request {
		r := &Request{
			Request: &http.Request{Method: http.MethodPost, Host: host, URL: &url.URL{Path: "/page/1"}},
			Path:    "/page/1", Team: "wells", Body: []byte("body"),
		}
		r.Route = config.Route{Name: "r1"}
		r.Service.Name = service
		return r
	}
	before := fingerprint(request("h", "app"))
	if fingerprint(request("h", "app-2")) != before {
		t.Error("a route that leads elsewhere makes another request of it")
	}
	if fingerprint(request("other", "app")) == before {
		t.Error("the same path of another host is taken for the same request")
	}
}
