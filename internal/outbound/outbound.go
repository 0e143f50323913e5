// Package outbound makes the HTTP clients with which this program calls endpoints, other
// instances and the platform. What they send is not trusted: a response has a bounded
// head, and a redirect is returned as it is, because a call is meant for one process.
package outbound

import (
	"context"
	"net"
	"net/http"
)

// MaxHeadBytes bounds the head of a response, in bytes.
const MaxHeadBytes = 64 << 10

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Transport returns a transport that opens connections with dial and does not decode
// bodies.
func Transport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

// Client returns a client that follows no redirects.
func Client(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
