package daemon

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// stalledTime is the time without progress after which a body that is being read
// gives way to a new connection if the limit on connections is reached.
const stalledTime = 3 * time.Second

// longPast is a deadline that ends reads at once.
var longPast = time.Unix(1, 0)

// watchedBody is the body of a request. It notes how reading it ended, and ends a
// read that has stalled.
type watchedBody struct {
	io.ReadCloser
	conn *timedConn // nil without a timedListener

	read int64 // bytes

	mu      sync.Mutex
	since   time.Time // start of the current read; zero if there is none
	evicted bool
	eof     bool
	failed  bool
}

// Read reads from the body. It fails if the body was evicted.
func (b *watchedBody) Read(p []byte) (int, error) {
	if !b.startRead() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := b.ReadCloser.Read(p)
	if b.read += int64(n); b.read > wideAfter && b.conn != nil {
		b.conn.widen()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Time{}
	if b.evicted {
		err = os.ErrDeadlineExceeded
	}
	b.eof = b.eof || err == io.EOF
	b.failed = b.failed || err != nil && err != io.EOF
	return n, err
}

func (b *watchedBody) startRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Now()
	return !b.evicted
}

// stalled returns the time for which the current read has lasted.
func (b *watchedBody) stalled() time.Duration {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() || b.evicted {
		return 0
	}
	return time.Since(b.since)
}

// evict ends the current read if it has stalled. It sets the deadline under the
// lock, so that the deadline can't hit a later request.
func (b *watchedBody) evict() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() || b.evicted || time.Since(b.since) < stalledTime {
		return false
	}
	b.evicted = true
	_ = b.conn.SetReadDeadline(longPast) // a closed connection has ended the read
	return true
}

// rest returns the time until which net/http may read the rest of the body, and
// false if there is no rest.
func (b *watchedBody) rest() (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed {
		return longPast, true
	}
	return time.Now().Add(drainTime), !b.eof
}

// boundDrain bounds the time for which net/http reads the rest of a body after the
// handler has returned. Without it a client that stops sending would keep the
// connection, and also its response, which net/http sends after that. A body that was
// read whole gets no deadline: net/http already reads ahead then, and takes a timeout
// for the end of the connection.
func boundDrain(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 || r.ProtoMajor != 1 {
			h.ServeHTTP(w, r)
			return
		}
		conn, _ := r.Context().Value(timedConnKey{}).(*timedConn)
		body := &watchedBody{ReadCloser: r.Body, conn: conn}
		if conn != nil {
			conn.body.Store(body)
			defer conn.body.Store(nil)
		}
		watched := r.WithContext(r.Context()) // net/http keeps its own request
		watched.Body = body
		h.ServeHTTP(w, watched)
		if deadline, ok := body.rest(); ok {
			_ = http.NewResponseController(w).SetReadDeadline(deadline) // reset before the next request
		}
	})
}
