package filter

import (
	"net/http"
	"strings"

	"github.com/cumincove/cumincove/code"
)

// ServicePrefix is the path prefix of services: /v1/services/{service}/{path}.
const ServicePrefix = "/v1/services/"

// Service finds the service that the path names.
type Service struct{}

// ServeHTTP sets r.Service and r.Path, or returns code.NoSuchRoute.
func (Service) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	rest, ok := strings.CutPrefix(r.URL.Path, ServicePrefix)
	if !ok {
		return code.New(code.NoSuchRoute, "%s", r.URL.Path)
	}
	name, path, _ := strings.Cut(rest, "/")
	s, ok := r.View.Config.Services[name]
	if !ok {
		return code.New(code.NoSuchRoute, "service %q", name)
	}
	r.Service = s
	r.Path = "/" + path
	return next.ServeHTTP(w, r)
}
