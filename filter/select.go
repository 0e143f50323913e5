package filter

import (
	"net/http"
	"strconv"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
)

// maxRole bounds the role that a caller selects, in bytes.
const maxRole = 64

// Select reads which endpoints of the service the caller selects, from the headers
// api.SelectVersionHeader and api.SelectRoleHeader. No other header selects
// endpoints, and neither header is sent to endpoints.
type Select struct{}

// ServeHTTP sets r.Requirements, or returns code.BadRequest.
func (Select) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	if text := r.Header.Get(api.SelectVersionHeader); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil || version == 0 {
			return code.New(code.BadRequest, "%s: want a positive number", api.SelectVersionHeader)
		}
		r.Requirements.WeightVersion = version
	}
	r.Requirements.Role = r.Header.Get(api.SelectRoleHeader)
	if len(r.Requirements.Role) > maxRole {
		return code.New(code.BadRequest, "%s: longer than %d bytes", api.SelectRoleHeader, maxRole)
	}
	return next.ServeHTTP(w, r)
}
