package standin

import (
	"net"
	"net/http"
)

// serve serves a handler at a free port of a loopback address until the process
// ends or the server is closed.
func serve(ip string, h http.Handler) (addr string, s *http.Server, err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", nil, err
	}
	s = &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s, nil
}
