package filter

import (
	"net/http"
	"net/url"
	"testing"

	"github.com/cumincove/cumincove/config"
)

// TestFingerprintIgnoresServiceOfRoute checks that a request keeps its
// fingerprint when its route is changed to another service, since it would
// crash the endpoints of that service as well.
func TestFingerprintIgnoresServiceOfRoute(t *testing.T) {
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
		t.Error("the fingerprint changed with the service of the route")
	}
	if fingerprint(request("other", "app")) == before {
		t.Error("the same path on another host has the same fingerprint")
	}
}
