package filter

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
)

// maxChunkBytes bounds the memory for one line of a token stream.
const maxChunkBytes = 64 << 10

// UsageCounter counts the usage of teams.
type UsageCounter interface {
	Add(team string, requests, tokens uint64)
}

// Usage counts the requests served and the tokens forwarded, for the team of the
// request's key. Requests to open services are not counted.
type Usage struct {
	Counter UsageCounter
}

// ServeHTTP calls next and then counts the request.
func (u Usage) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	if r.Team == "" {
		return next.ServeHTTP(w, r)
	}
	if r.Service.Type != config.ServiceEngine {
		err := next.ServeHTTP(w, r)
		u.count(r, err, 0)
		return err
	}
	m := &meter{ResponseWriter: w}
	err := next.ServeHTTP(m, r)
	u.count(r, err, m.tokens(r.Body))
	return err
}

func (u Usage) count(r *Request, err error, tokens uint64) {
	var requests uint64
	if err == nil {
		requests = 1
	}
	if requests+tokens > 0 {
		u.Counter.Add(r.Team, requests, tokens)
	}
}

// meter keeps the last complete line of a token stream. The line contains an
// engine.Chunk, whose Index is the number of tokens before it.
type meter struct {
	http.ResponseWriter
	lastComplete, partial []byte
	lineTooLong           bool // partial was truncated at maxChunkBytes
}

// Unwrap allows http.ResponseController to reach the underlying writer.
func (m *meter) Unwrap() http.ResponseWriter { return m.ResponseWriter }

func (m *meter) Write(p []byte) (int, error) {
	n, err := m.ResponseWriter.Write(p)
	m.splitLines(p[:n])
	return n, err
}

func (m *meter) splitLines(p []byte) {
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			m.appendToLine(p)
			return
		}
		m.appendToLine(p[:i])
		if !m.lineTooLong && len(m.partial) > 0 {
			m.lastComplete, m.partial = m.partial, m.lastComplete
		}
		m.partial, m.lineTooLong = m.partial[:0], false
		p = p[i+1:]
	}
}

func (m *meter) appendToLine(p []byte) {
	if m.lineTooLong = m.lineTooLong || len(m.partial)+len(p) > maxChunkBytes; !m.lineTooLong {
		m.partial = append(m.partial, p...)
	}
}

// tokens returns the number of tokens forwarded, excluding the tokens that the
// request itself contained.
func (m *meter) tokens(request []byte) uint64 {
	var c engine.Chunk
	if json.Unmarshal(m.lastComplete, &c) != nil {
		return 0
	}
	var g engine.GenerateRequest
	_ = json.Unmarshal(request, &g) // a response in chunks implies a valid request
	return uint64(max(c.Index+len(c.Tokens)-len(g.Resume), 0))
}
