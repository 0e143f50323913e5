package attempt

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cumincove/cumincove/engine"
)

// Dialect describes the headers and rules that endpoints use in addition to
// plain HTTP.
type Dialect struct {
	// IDHeader carries the request's ID. The response echoes it.
	IDHeader string
	// NotRunHeader is set in a refusal if the endpoint guarantees that it did no
	// work on the request. NotRunValue is its value; empty means any value.
	NotRunHeader string
	NotRunValue  string
	// StampHeader must be set in each successful response; empty means that none
	// is required.
	StampHeader string
	// LeavingHeader is set in each response of an endpoint that is about to
	// leave; empty means that endpoints do not report it.
	LeavingHeader string
	// RateLimitHeader names in each response the endpoint's limit on requests per
	// second from all instances together; empty means that endpoints name none.
	RateLimitHeader string
	// PassHeaders forwards all headers in both directions, except hop-by-hop
	// headers and, in requests, credentials. If it is not set, only headers on an
	// allow list are forwarded.
	PassHeaders bool
	// Strict endpoints echo the ID in every response and never encode a body.
	// They respond with status 421, without doing any work, to a request that
	// was meant for another endpoint.
	Strict bool
}

// DefaultDialect returns the Dialect of package engine.
func DefaultDialect() Dialect {
	return Dialect{
		IDHeader:     engine.RequestIDHeader,
		NotRunHeader: engine.NotRunHeader,
		NotRunValue:  "true",
	}
}

// hopByHopHeaders apply to one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
}

// credentialHeaders are never sent to an endpoint.
var credentialHeaders = []string{
	"Authorization",
	"Proxy-Authorization",
	"Proxy-Authenticate",
	"Cookie",
}

// RequestHeader returns the headers of a caller's request that may be sent to an
// endpoint.
func (d Dialect) RequestHeader(h http.Header) http.Header {
	if !d.PassHeaders {
		return RequestHeader(h)
	}
	out := withoutHopByHop(h)
	for _, name := range credentialHeaders {
		delete(out, name)
	}
	return out
}

// withoutHopByHop returns a copy of a header without hop-by-hop headers and
// those listed in Connection.
func withoutHopByHop(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// Leaving reports whether a response indicates that its endpoint is about to
// leave. It returns false for a misdirected request: that response is from an
// endpoint other than the one the request was meant for.
func (d Dialect) Leaving(status int, h http.Header) bool {
	misdirected := d.Strict && status == http.StatusMisdirectedRequest
	return d.LeavingHeader != "" && h.Get(d.LeavingHeader) != "" && !misdirected
}

// refused reports whether a response guarantees that the endpoint did no work.
func (d Dialect) refused(status int, h http.Header) bool {
	if d.Strict && status == http.StatusMisdirectedRequest {
		return true
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
	case http.StatusBadRequest:
		if !d.Strict {
			return false
		}
	default:
		return false
	}
	value := h.Get(d.NotRunHeader)
	return value != "" && (d.NotRunValue == "" || value == d.NotRunValue)
}
