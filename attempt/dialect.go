package attempt

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cumincove/cumincove/engine"
)

// Dialect says how endpoints mark what plain HTTP leaves open.
type Dialect struct {
	// IDHeader carries the request's ID, which an answer echoes.
	IDHeader string
	// NotRunHeader is in refusals with which an endpoint promises that it did
	// no work. NotRunValue is its value; empty means any.
	NotRunHeader string
	NotRunValue  string
	// StampHeader must be in each success; empty means that none is needed.
	StampHeader string
	// LeavingHeader is in each answer of an endpoint that is about to leave;
	// empty means that endpoints don't say so.
	LeavingHeader string
	// PassHeaders lets all headers through, both ways, but those of one
	// connection and credentials. Otherwise only well-known ones pass.
	PassHeaders bool
	// Strict endpoints echo the ID in every answer, never encode a body, and
	// answer with status 421 what was meant for another endpoint, without work
	// on it.
	Strict bool
}

// DefaultDialect is that of package engine.
func DefaultDialect() Dialect {
	return Dialect{
		IDHeader:     engine.RequestIDHeader,
		NotRunHeader: engine.NotRunHeader,
		NotRunValue:  "true",
	}
}

// connectionHeaders concern one connection only (RFC 9110, 7.6.1).
var connectionHeaders = []string{
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

// credentialHeaders never reach an endpoint.
var credentialHeaders = []string{
	"Authorization",
	"Proxy-Authorization",
	"Proxy-Authenticate",
	"Cookie",
}

// RequestHeader returns the part of a caller's header that may be sent to an
// endpoint.
func (d Dialect) RequestHeader(h http.Header) http.Header {
	if !d.PassHeaders {
		return RequestHeader(h)
	}
	out := passed(h)
	for _, name := range credentialHeaders {
		delete(out, name)
	}
	return out
}

// passed returns a header without what concerns one connection only.
func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}

// Leaving reports whether an answer says that its endpoint is about to leave.
// That of an endpoint that was not meant tells nothing of the one that was.
func (d Dialect) Leaving(status int, h http.Header) bool {
	misdirected := d.Strict && status == http.StatusMisdirectedRequest
	return d.LeavingHeader != "" && h.Get(d.LeavingHeader) != "" && !misdirected
}

// refused reports whether an answer promises that the endpoint did no work.
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
