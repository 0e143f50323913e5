package daemon

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/membudget"
	"github.com/cumincove/cumincove/settings"
)

// TestWideBuffersAreReturned guards against wide receive buffers that are used up: after
// large bodies, whole and broken off, all of them are free again.
func TestWideBuffersAreReturned(t *testing.T) {
	const memory = 16 << 20
	budget := membudget.New(membudget.Options{Total: memory, Clock: clock.NewMonotonic()})
	wide := newWideBuffers(memory)
	free := wide.free.Load()
	if free < 2 {
		t.Fatalf("%d wide buffers in %d bytes", free, memory)
	}
	open := listeners{
		open: net.Listen, limits: settings.Default().Limits, budget: budget, wide: wide, log: slog.New(slog.DiscardHandler),
	}
	servers, err := open.openAll([]listenerSpec{{
		name: "callers", addr: "127.0.0.1:0", maxConns: 100,
		h: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }),
	}})
	if err != nil {
		t.Fatal(err)
	}
	s := servers[0]
	go s.serve()
	t.Cleanup(func() { s.http.Close() })
	url := "http://" + s.l.Addr().String() + "/"
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			var body io.Reader = bytes.NewReader(make([]byte, 1<<20))
			if n%2 == 1 {
				body = io.MultiReader(body, brokenReader{})
			}
			resp, err := http.Post(url, "", body)
			if err == nil {
				resp.Body.Close()
			}
		})
	}
	clients.Wait()
	http.DefaultClient.CloseIdleConnections()
	await(func() bool { return wide.free.Load() == free })
}

// brokenReader is a body that breaks off.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
