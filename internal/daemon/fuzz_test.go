package daemon_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/systemtest"
)

// panicHandler is a log handler that detects net/http's message about a panic
// in an HTTP handler.
type panicHandler struct {
	slog.Handler
	messages chan string
}

func (p panicHandler) Enabled(context.Context, slog.Level) bool { return true }
func (p panicHandler) WithAttrs([]slog.Attr) slog.Handler       { return p }
func (p panicHandler) WithGroup(string) slog.Handler            { return p }

func (p panicHandler) Handle(_ context.Context, r slog.Record) error {
	if strings.Contains(r.Message, "panic serving") {
		select {
		case p.messages <- r.Message:
		default:
		}
	}
	return nil
}

// fuzzListener sends arbitrary bytes to a listener of a running instance.
func fuzzListener(f *testing.F, addr func(*daemontest.Instance) string, seeds ...string) {
	log := panicHandler{Handler: slog.NewTextHandler(io.Discard, nil), messages: make(chan string, 1)}
	sys := systemtest.Start(f, daemontest.Options{DataCentres: []string{"x"}, Log: slog.New(log)})
	for _, s := range seeds {
		f.Add([]byte(strings.ReplaceAll(s, "\n", "\r\n")))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := net.Dial("tcp", addr(sys.Instances[0]))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = c.Write(data) // the instance may have closed the connection already
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		select {
		case text := <-log.messages:
			t.Fatal(text)
		default:
		}
	})
}

func FuzzCallers(f *testing.F) {
	fuzzListener(f, func(in *daemontest.Instance) string { return in.Settings.Listen.Callers },
		"GET /v1/entries HTTP/1.1\nHost: a\n\n",
		"POST /v1/services/tagger/v1/generate HTTP/1.1\nHost: a\nAuthorization: Bearer x\nContent-Length: 2\n\n{}",
		"POST /v1/steps HTTP/1.1\nHost: a\nAuthorization: Bearer x\nTransfer-Encoding: chunked\n\n2\n{}\n0\n\n",
		"GET /v1/steps/a/samples?cursor=zz&max=-1&wait=1h HTTP/1.1\nHost: a\n\n")
}

func FuzzPeers(f *testing.F) {
	fuzzListener(f, func(in *daemontest.Instance) string { return in.Settings.Listen.Peers },
		"POST /cumincove.gossip.v1.PeerService/Exchange HTTP/1.1\nHost: a\nContent-Type: application/proto\nContent-Length: 2\n\n\x0a\x00",
		"POST /cumincove.rollout.v1.RolloutService/Pull HTTP/1.1\nHost: a\nContent-Type: application/json\nContent-Length: 2\n\n{}")
}

func FuzzOperators(f *testing.F) {
	fuzzListener(f, func(in *daemontest.Instance) string { return in.Settings.Listen.Operators },
		"GET /v1/status HTTP/1.1\nHost: a\n\n",
		"POST /v1/changes HTTP/1.1\nHost: a\nContent-Length: 30\n\n{\"put\":{\"teams\":[{\"name\":\"a\"}]}}",
		"POST /v1/keys/a/withdraw HTTP/1.1\nHost: a\nContent-Length: 0\n\n",
		"GET /v1/objects?kind=team&selector=a%20in%20(b HTTP/1.1\nHost: a\n\n",
		"GET /v1/audit?after=-1&limit=99999999999999999999 HTTP/1.1\nHost: a\n\n")
}
