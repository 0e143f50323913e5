package engine_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumincove/cumincove/engine"
)

// TestChunkSizeIsBounded checks that Generate stops reading a chunk that does
// not end after a bounded number of bytes, whether these are within a JSON value
// or white space between two values.
func TestChunkSizeIsBounded(t *testing.T) {
	const enough = 64 << 20
	for _, begin := range []string{`{"index":0,"text":"`, ""} {
		var sent atomic.Int64
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
			_, err := w.Write([]byte(begin))
			part := []byte(strings.Repeat(" ", 64<<10))
			for err == nil && sent.Load() < enough {
				var n int
				n, err = w.Write(part)
				sent.Add(int64(n))
			}
		}))
		c := engine.Client{HTTP: srv.Client(), FirstChunkTimeout: time.Minute, ChunkTimeout: time.Minute, CallTimeout: time.Minute}
		addr := strings.TrimPrefix(srv.URL, "http://")
		err := c.Generate(context.Background(), addr, "id", engine.GenerateRequest{}, func(engine.Chunk) bool { return true })
		if !errors.Is(err, engine.ErrTruncated) || sent.Load() >= enough {
			t.Errorf("stream starting with %q: error %v after %d bytes", begin, err, sent.Load())
		}
		srv.Close()
	}
}
