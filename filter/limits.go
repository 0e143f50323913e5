package filter

import (
	"net/http"

	"github.com/cumincove/cumincove/code"
)

// fieldOverhead is the size of a header field without its name and value, in
// bytes.
const fieldOverhead = len(": \r\n")

// HeaderBytes returns the size of a request's header, including the request line.
func HeaderBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + fieldOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + fieldOverhead
		}
	}
	return n
}

// Limits enforces the limits in the configuration. The limits in the settings of
// this instance apply in addition.
type Limits struct{}

// ServeHTTP returns code.HeaderTooLarge or code.BodyTooLarge, or calls next. A body
// of unknown length is bounded while it is read.
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
