package filter

import (
	"net/http"

	"github.com/cumincove/cumincove/code"
)

// fieldOverhead is what a header field takes besides name and value.
const fieldOverhead = len(": \r\n")

// HeaderBytes is the size of a request's header, request line included.
func HeaderBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + fieldOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldOverhead
		}
	}
	return n
}

// Limits holds requests to the limits of the configuration, beside those of the
// settings.
type Limits struct{}

// ServeHTTP returns code.HeaderTooLarge or code.BodyTooLarge, or passes the
// request on.
func (Limits) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	l := r.View.Config.Limits
	if l.HeaderBytes > 0 && HeaderBytes(r.Request) > l.HeaderBytes {
		return code.New(code.HeaderTooLarge, "limit %d bytes", l.HeaderBytes)
	}
	if l.BodyBytes > 0 {
		if r.ContentLength > l.BodyBytes {
			return code.New(code.BodyTooLarge, "limit %d bytes", l.BodyBytes)
		}
		if r.Request.Body != nil {
			r.Request.Body = http.MaxBytesReader(w, r.Request.Body, l.BodyBytes)
		}
	}
	return next.ServeHTTP(w, r)
}
