// Package outbound makes the HTTP clients with which this program calls endpoints, other
// instances and the platform. What they send is not trusted: a response has a bounded
// head, and a redirect is returned as it is, because a call is meant for one process.
package outbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"connectrpc.com/connect"
)

// MaxHeadBytes bounds the head of a response, in bytes.
const MaxHeadBytes = 16 << 10

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

// PeerClient returns a client for calls to other instances, whose responses have at most
// maxDataBytes.
func PeerClient(t http.RoundTripper) *http.Client { return Client(limited{t}) }

// limited bounds the bodies of responses.
type limited struct{ http.RoundTripper }

func (l limited) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = &limitedBody{ReadCloser: resp.Body, left: maxDataBytes}
	}
	return resp, err
}

// errTooLarge is returned for a body of more than maxDataBytes.
var errTooLarge = errors.New("outbound: the response is too large")

type limitedBody struct {
	io.ReadCloser
	left int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	return n, err
}

const (
	// maxReplyBytes bounds the response of another instance that has few fields, and
	// maxDataBytes that of one with data of steps or members.
	maxReplyBytes = 64 << 10
	maxDataBytes  = 8 << 20
)

// Reply returns the option of a connect client whose responses have few fields, and Data
// that of one whose responses have data of steps or members. A larger response is not
// kept in memory.
func Reply() connect.ClientOption { return connect.WithReadMaxBytes(maxReplyBytes) }

// Data is described at Reply.
func Data() connect.ClientOption { return connect.WithReadMaxBytes(maxDataBytes) }
