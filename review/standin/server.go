package standin

import (
	"net"
	"net/http"
)

// serve serves a handler at a free port of a loopback address until the process
// ends.
func serve(ip string, h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // ends with the process
	return l.Addr().String(), nil
}
