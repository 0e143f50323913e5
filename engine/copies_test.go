package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cumincove/cumincove/engine"
)

// serveCopies answers the requests of one connection, and sends a second copy of each
// answer when the next request has arrived.
func serveCopies(c net.Conn, answer func(r *http.Request, number int) (status int, body string)) {
	defer c.Close()
	in := bufio.NewReader(c)
	last := ""
	for number := 1; ; number++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		status, body := answer(r, number)
		text := fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader), len(body), body)
		if _, err := io.WriteString(c, last+text); err != nil {
			return
		}
		last = text
	}
}

// TestCopyOfAnswerIsAMismatch guards against a late copy of the answer to an earlier call
// that is taken for the answer to this one, because both are about the same request or order.
func TestCopyOfAnswerIsAMismatch(t *testing.T) {
	kv := engine.KV{Handle: "h"}
	order := engine.Order{ID: "o"}
	for name, call := range map[string]struct {
		first, second func(ctx context.Context, c *engine.Client, addr string) error
	}{
		"an order again": {
			first:  func(ctx context.Context, c *engine.Client, addr string) error { return c.Order(ctx, addr, order) },
			second: func(ctx context.Context, c *engine.Client, addr string) error { return c.Order(ctx, addr, order) },
		},
		"a stream after its KV cache": {
			first: func(ctx context.Context, c *engine.Client, addr string) error { return c.ImportKV(ctx, addr, kv) },
			second: func(ctx context.Context, c *engine.Client, addr string) error {
				return c.Generate(ctx, addr, "r", engine.GenerateRequest{}, func(engine.Chunk) bool { return true })
			},
		},
		"a KV cache after its stream": {
			first: func(ctx context.Context, c *engine.Client, addr string) error { return c.Cancel(ctx, addr, "r") },
			second: func(ctx context.Context, c *engine.Client, addr string) error {
				_, err := c.ExportKV(ctx, addr, "r")
				return err
			},
		},
		"a report": {
			first: func(ctx context.Context, c *engine.Client, addr string) error {
				_, err := c.Load(ctx, addr)
				return err
			},
			second: func(ctx context.Context, c *engine.Client, addr string) error {
				_, err := c.Load(ctx, addr)
				return err
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewUnstartedServer(nil)
			defer srv.Close()
			go func() {
				for {
					c, err := srv.Listener.Accept()
					if err != nil {
						return
					}
					go serveCopies(c, func(_ *http.Request, number int) (int, string) {
						if number == 1 {
							return http.StatusOK, `{"done":true}`
						}
						return http.StatusConflict, ""
					})
				}
			}()
			addr := srv.Listener.Addr().String()
			c := &engine.Client{
				HTTP:              &http.Client{Transport: &http.Transport{}},
				FirstChunkTimeout: time.Minute, ChunkTimeout: time.Minute, CallTimeout: time.Minute,
			}
			if err := call.first(t.Context(), c, addr); err != nil {
				t.Fatal(err)
			}
			err := call.second(t.Context(), c, addr)
			if !errors.Is(err, engine.ErrIDMismatch) {
				t.Errorf("got error %v, want %v", err, engine.ErrIDMismatch)
			}
		})
	}
}
