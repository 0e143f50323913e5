package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/systemtest"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/settings"
)

// TestConnectionAndHeaderLimits: connections and headers over the limits are
// refused with an error code, and a closed connection no longer counts towards
// the limit.
func TestConnectionAndHeaderLimits(t *testing.T) {
	const maxConns = 3
	sys := systemtest.Start(t, daemontest.Options{DataCentres: []string{"x"}, Settings: func(s *settings.Settings) {
		s.Limits.Connections = maxConns
		s.Limits.HeaderBytes = 1024
	}})
	addr := sys.Instances[0].Settings.Listen.Callers
	var open []net.Conn
	for range maxConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	get := func(header string) int {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/entries", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Long", header)
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var e api.Error
		if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
			t.Fatal(err)
		}
		return e.Code
	}
	if got := get(""); got != int(code.TooManyConns) {
		t.Errorf("a connection over the limit: got code %d", got)
	}
	for _, c := range open {
		c.Close()
	}
	for get("") != int(code.OK) { // until the server has processed the closed connections
	}
	if got := get(strings.Repeat("x", 2000)); got != int(code.HeaderTooLarge) {
		t.Errorf("a header over the limit: got code %d", got)
	}
}

// TestResponseSizeLimit: a response over the limit is refused with an error code
// if its length is known, and truncated otherwise. A response within the limit has
// the code of success.
func TestResponseSizeLimit(t *testing.T) {
	const limit = 64 << 10
	sys := systemtest.Start(t, daemontest.Options{DataCentres: []string{"x"}, Settings: func(s *settings.Settings) {
		s.Limits.AnswerBytes = limit
	}})
	echo := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(r.ContentLength))
		_, _ = io.Copy(w, r.Body)
	}))
	defer echo.Close()
	plain := config.Endpoint{
		Meta: config.Meta{Name: "plain", Labels: map[string]string{"app": "plain"}}, DataCentre: "x", Addr: echo.Listener.Addr().String(),
	}
	_, eng, err := sys.AddEngine("engine", "x", map[string]string{"app": "engine"}, fakeengine.Options{TokenDelay: time.Microsecond, Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	ops := systemtest.OperatorClient(sys.Instances[0], http.DefaultClient)
	put := config.Objects{Endpoints: []config.Endpoint{plain, eng}, Services: []config.Service{
		{Meta: config.Meta{Name: "echo"}, Type: config.ServicePlain, Open: true, Endpoints: label.MustParse("app=plain")},
		{Meta: config.Meta{Name: "tagger"}, Type: config.ServiceEngine, Open: true, Endpoints: label.MustParse("app=engine")},
	}}
	post := func(path, body string) (codeHeader string, n int, err error) {
		resp, err := http.Post("http://"+sys.Instances[0].Settings.Listen.Callers+"/v1/services/"+path, "text/plain", strings.NewReader(body))
		if err != nil {
			return "", 0, err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return resp.Header.Get(api.CodeHeader), len(b), err
	}
	for committed := false; !committed; time.Sleep(time.Millisecond) {
		_, err := ops.Change(context.Background(), api.ChangeRequest{Put: put})
		committed = err == nil
	}
	for h := ""; h != "0"; time.Sleep(time.Millisecond) {
		h, _, _ = post("echo/x", "small")
	}
	if h, _, err := post("echo/x", strings.Repeat("x", limit+1)); h != fmt.Sprint(int(code.AnswerTooLarge)) || err != nil {
		t.Errorf("a response of known length over the limit: code %q, error %v", h, err)
	}
	generateBody := func(tokens int) string { return fmt.Sprintf(`{"prompt":"p","max_tokens":%d}`, tokens) }
	if h, n, err := post("tagger/v1/generate", generateBody(20)); h != "0" || err != nil {
		t.Errorf("a stream within the limit: code %q, %d bytes, error %v", h, n, err)
	}
	if _, n, err := post("tagger/v1/generate", generateBody(10_000)); err == nil || n > limit {
		t.Errorf("a stream over the limit: %d bytes, error %v", n, err)
	}
}
