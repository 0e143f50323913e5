package attempt

import "net/http"

// requestHeaders are the request headers that are forwarded to an endpoint. They
// must not include credentials (Authorization, Proxy-Authorization, Cookie).
var requestHeaders = []string{
	"Accept",
	"Accept-Encoding",
	"Accept-Language",
	"Content-Encoding",
	"Content-Language",
	"Content-Type",
	"Idempotency-Key",
	"If-Match",
	"If-Modified-Since",
	"If-None-Match",
	"If-Unmodified-Since",
	"Range",
	"Traceparent",
	"Tracestate",
	"User-Agent",
}

// responseHeaders are the response headers that are forwarded to a caller.
var responseHeaders = []string{
	"Accept-Ranges",
	"Cache-Control",
	"Content-Disposition",
	"Content-Encoding",
	"Content-Language",
	"Content-Range",
	"Content-Type",
	"Etag",
	"Expires",
	"Last-Modified",
	"Location",
	"Retry-After",
	"Vary",
}

// RequestHeader returns the headers of a caller's request that may be sent to an
// endpoint.
func RequestHeader(h http.Header) http.Header {
	out := make(http.Header, len(requestHeaders)/2)
	copyAllowed(out, h, requestHeaders)
	return out
}

func copyAllowed(dst, src http.Header, names []string) {
	for _, name := range names {
		if v, ok := src[name]; ok {
			dst[name] = v
		}
	}
}
