package filter_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/view"
)

// TestLimits checks the configuration's limits on header and body size, for
// bodies of known and of unknown length.
func TestLimits(t *testing.T) {
	s := config.NewState()
	s.Limits = config.RequestLimits{HeaderBytes: 200, BodyBytes: 10}
	v := &view.View{}
	v.SetConfig(s)
	for _, c := range []struct {
		name, body, header string
		chunked            bool
		want               code.Number
	}{
		{"within", "0123456789", "x", false, code.OK},
		{"long header", "", strings.Repeat("x", 200), false, code.HeaderTooLarge},
		{"long body", "0123456789a", "x", false, code.BodyTooLarge},
		{"long body in chunks", "0123456789a", "x", true, code.BodyTooLarge},
	} {
		hr := httptest.NewRequest(http.MethodPost, "http://h/", io.NopCloser(strings.NewReader(c.body)))
		hr.ContentLength = int64(len(c.body))
		if c.chunked {
			hr.ContentLength = -1
		}
		hr.Header.Set("X-Own", c.header)
		last := filter.HandlerFunc(func(http.ResponseWriter, *filter.Request) error { return nil })
		chain := filter.Chain(last, filter.Limits{}, filter.Body{MaxBytes: 1 << 20})
		err := chain.ServeHTTP(httptest.NewRecorder(), &filter.Request{Request: hr, View: v})
		var coded *code.Error
		if got := errors.As(err, &coded); got != (c.want != code.OK) || got && coded.Number != c.want {
			t.Errorf("%s: %v, want code %d", c.name, err, c.want)
		}
	}
}
