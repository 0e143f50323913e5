package filter

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
)

// TestSlowBodyTimesOut checks that the read of a body times out if the caller
// sends only a part of it.
func TestSlowBodyTimesOut(t *testing.T) {
	got := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		b := Body{MaxBytes: 100, Timeout: 50 * time.Millisecond}
		got <- b.ServeHTTP(w, &Request{Request: hr}, HandlerFunc(func(http.ResponseWriter, *Request) error { return nil }))
	}))
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
	var ce *code.Error
	if err := <-got; !errors.As(err, &ce) || ce.Number != code.CallerTimeout {
		t.Fatalf("error %v, want a caller timeout", err)
	}
}
