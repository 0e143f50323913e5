package filter

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/membudget"
)

const (
	// firstBodyBytes is the size of a body's first buffer, and largeBodyBytes the
	// size from which buffers of unknown final size grow by half instead of doubling.
	firstBodyBytes = 16 << 10
	largeBodyBytes = 4 << 20
	// endOfBodyBytes is the room that a body of unknown length needs to read its end.
	endOfBodyBytes = 512
	// deadlineStep is the least change of a read deadline that is set, and
	// touchPeriod the time between two notes of progress.
	deadlineStep = time.Second
	touchPeriod  = 250 * time.Millisecond
)

// Body reads the complete body before the request is queued, so that a slow
// sender does not occupy a queue position.
type Body struct {
	// MaxBytes bounds the body, in bytes.
	MaxBytes int64 `json:"max_bytes"`
	// Timeout bounds the time to read the body.
	Timeout time.Duration `json:"timeout"`
	// Rate prolongs Timeout by a second for each Rate bytes received; zero means
	// that it doesn't.
	Rate int64 `json:"rate"`
	// Budget is the memory for bodies; nil means that it has no limit.
	Budget *membudget.Budget `json:"-"`
}

// ServeHTTP sets r.Body and r.Memory, or returns code.BodyTooLarge,
// code.CallerTimeout or code.MemoryFull. The memory is held until the request ends.
func (b Body) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	if r.ContentLength == 0 {
		r.Body = []byte{}
		return next.ServeHTTP(w, r)
	}
	rc := http.NewResponseController(w)
	hold := b.Budget.Open(r.Team, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) }) // the read fails at once
	defer hold.Close()
	reader := bodyReader{Body: b, rc: rc, hold: hold, src: http.MaxBytesReader(w, r.Request.Body, b.MaxBytes)}
	reader.started = time.Now()
	reader.touched = reader.started
	body, err := reader.read(r.ContentLength)
	if hold.Evicted() || errors.Is(err, errMemoryFull) {
		return code.New(code.MemoryFull, "")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return code.New(code.BodyTooLarge, "limit %d bytes", tooLarge.Limit)
	case err != nil:
		return code.Wrap(code.CallerTimeout, err, "read body")
	case !hold.Complete():
		return code.New(code.MemoryFull, "")
	}
	if reader.timed {
		_ = rc.SetReadDeadline(time.Time{}) // it was set before, so it can be set
	}
	r.Body, r.Memory = body, hold
	return next.ServeHTTP(w, r)
}

var errMemoryFull = errors.New("memory for bodies is full")

// bodyReader reads one body into a buffer that grows as bytes arrive.
type bodyReader struct {
	Body
	rc       *http.ResponseController
	src      io.Reader
	hold     *membudget.Hold
	started  time.Time
	deadline time.Time
	touched  time.Time
	timed    bool // the connection supports deadlines
}

// read reads the body. The length is negative if it is unknown.
func (b *bodyReader) read(length int64) ([]byte, error) {
	if length > b.MaxBytes {
		return nil, &http.MaxBytesError{Limit: b.MaxBytes}
	}
	var buf []byte
	for {
		if int64(len(buf)) == length {
			return buf, nil
		}
		if len(buf) == cap(buf) {
			next := b.nextSize(int64(cap(buf)), length)
			if !b.hold.Grow(next - int64(cap(buf))) {
				return nil, errMemoryFull
			}
			buf = append(make([]byte, 0, next), buf...)
		}
		b.extend(len(buf))
		n, err := b.src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF && length >= 0 && int64(len(buf)) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSize returns the size of the buffer after one of a given size.
func (b *bodyReader) nextSize(size, length int64) int64 {
	next := max(2*size, firstBodyBytes)
	if length >= 0 {
		return min(next, length)
	}
	if size >= largeBodyBytes {
		next = size + size/2
	}
	return min(next, b.MaxBytes+endOfBodyBytes)
}

// extend sets the deadline that applies once n bytes have been received.
func (b *bodyReader) extend(n int) {
	if now := time.Now(); now.Sub(b.touched) >= touchPeriod {
		b.touched = now
		b.hold.Touch()
	}
	deadline := b.started.Add(b.Timeout)
	if b.Rate > 0 {
		deadline = deadline.Add(time.Duration(float64(n) / float64(b.Rate) * float64(time.Second)))
	}
	if !b.deadline.IsZero() && deadline.Sub(b.deadline) < deadlineStep {
		return
	}
	b.deadline = deadline
	b.timed = b.rc.SetReadDeadline(deadline) == nil
	if b.timed && b.hold.Evicted() { // the new deadline replaced that of the eviction
		_ = b.rc.SetReadDeadline(time.Unix(1, 0))
	}
}
