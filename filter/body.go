package filter

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/code"
)

// Body reads the complete body before the request is queued, so that a slow
// sender does not occupy a queue position.
type Body struct {
	// MaxBytes bounds the body, in bytes.
	MaxBytes int64 `json:"max_bytes"`
	// Timeout bounds the time to read the body.
	Timeout time.Duration `json:"timeout"`
}

// ServeHTTP sets r.Body, or returns code.BodyTooLarge or code.CallerTimeout.
func (b Body) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	rc := http.NewResponseController(w)
	if r.ContentLength != 0 && rc.SetReadDeadline(time.Now().Add(b.Timeout)) == nil {
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	body, err := b.read(w, r)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return code.New(code.BodyTooLarge, "limit %d bytes", tooLarge.Limit)
	case err != nil:
		return code.Wrap(code.CallerTimeout, err, "read body")
	}
	r.Body = body
	return next.ServeHTTP(w, r)
}

// read reads the body. A body of known length is read into a buffer of that
// length.
func (b Body) read(w http.ResponseWriter, r *Request) ([]byte, error) {
	n := r.ContentLength
	if n < 0 || n > b.MaxBytes {
		return io.ReadAll(http.MaxBytesReader(w, r.Request.Body, b.MaxBytes))
	}
	body := make([]byte, n)
	_, err := io.ReadFull(r.Request.Body, body)
	return body, err
}
