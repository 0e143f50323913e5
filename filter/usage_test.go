package filter_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/filter"
)

type counted struct{ requests, tokens uint64 }

func (c *counted) Add(_ string, requests, tokens uint64) {
	c.requests += requests
	c.tokens += tokens
}

// TestUsage checks the counts for complete and truncated responses that are written
// in pieces of different sizes.
func TestUsage(t *testing.T) {
	const first, second = `{"index":2,"tokens":[1,2,3]}` + "\n", `{"index":5,"tokens":[4],"done":true}` + "\n"
	for _, c := range []struct {
		name, body string
		err        error
		want       counted
	}{
		{"complete", first + second, nil, counted{1, 4}},
		{"truncated within a chunk", first + second[:9], io.ErrUnexpectedEOF, counted{0, 3}},
		{"refused", "", errors.New("no endpoint"), counted{0, 0}},
	} {
		for _, size := range []int{1, 7, 1000} {
			var got counted
			f := filter.Usage{Counter: &got}
			r := &filter.Request{
				Team: "pressing", Service: config.Service{Type: config.ServiceEngine},
				Body: []byte(`{"prompt":"p","resume":[8,9]}`),
			}
			err := f.ServeHTTP(httptest.NewRecorder(), r, filter.HandlerFunc(func(w http.ResponseWriter, _ *filter.Request) error {
				for b := []byte(c.body); len(b) > 0; {
					n, _ := w.Write(b[:min(size, len(b))])
					b = b[n:]
				}
				return c.err
			}))
			if err != c.err || got != c.want {
				t.Errorf("%s in pieces of %d: %+v, %v", c.name, size, got, err)
			}
		}
	}
}
