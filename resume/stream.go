// Package resume continues an interrupted token stream at another endpoint. The
// reader gets a single stream: each token once, in order, and the last chunk
// only after all tokens.
//
// Stream is pure. It gets the bytes of the endpoints' streams one after another,
// and returns the bytes to forward to the reader and the request body for the
// next endpoint.
package resume

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cumincove/cumincove/engine"
)

var (
	// ErrGap is returned when a chunk does not follow the previous one.
	ErrGap = errors.New("resume: chunk does not follow")
	// ErrVersion is returned when the next endpoint continues with another
	// weight version.
	ErrVersion = errors.New("resume: other weight version")
	// ErrMalformed is returned when a line is not a chunk, or a line or the
	// stream is too long.
	ErrMalformed = errors.New("resume: not a chunk")
	// ErrCancelled is returned when the endpoint cancelled the stream.
	ErrCancelled = errors.New("resume: cancelled by the endpoint")
)

const (
	// maxLine bounds the length of a line, in bytes.
	maxLine = 64 << 10
	// maxTokens bounds the number of tokens that a Stream stores.
	maxTokens = 1 << 20
	// cancelled is the finish reason of a stream that the endpoint cancelled.
	cancelled = "cancelled"
)

// Stream is the stream of one reader. It must be created with New.
type Stream struct {
	request map[string]json.RawMessage
	// sameVersion requires the next endpoint to continue with the weight version
	// of the last token.
	sameVersion bool
	// tokens contains the tokens so far. The first requestTokens of them were
	// part of the request.
	tokens        []int32
	requestTokens int
	// version is the weight version of the last token.
	version uint64
	// partial is the incomplete last line.
	partial []byte
	// newEndpoint indicates that the next tokens are the first ones of another
	// endpoint.
	newEndpoint bool
	done        bool
}

// New returns the stream of a request. It returns false if the stream cannot
// continue at another endpoint: the body is not a GenerateRequest, the request
// uses a KV cache, which only one endpoint has, or the stream may have more than
// maxTokens tokens.
func New(body []byte, sameVersion bool) (*Stream, bool) {
	var g engine.GenerateRequest
	s := &Stream{sameVersion: sameVersion}
	if json.Unmarshal(body, &g) != nil || json.Unmarshal(body, &s.request) != nil {
		return nil, false
	}
	if g.KVHandle != "" || g.MaxTokens > maxTokens || len(g.Resume) > maxTokens {
		return nil, false
	}
	s.tokens, s.requestTokens = g.Resume, len(g.Resume)
	return s, true
}

// Feed processes bytes of the current endpoint's stream and returns the complete
// lines to forward to the reader. After an error the rest of the endpoint's
// stream must not be used.
func (s *Stream) Feed(p []byte) (out []byte, err error) {
	s.partial = append(s.partial, p...)
	end := 0
	for {
		i := bytes.IndexByte(s.partial[end:], '\n')
		if i < 0 {
			break
		}
		if err = s.processLine(s.partial[end : end+i]); err != nil {
			break
		}
		end += i + 1
	}
	out = bytes.Clone(s.partial[:end])
	s.partial = append(s.partial[:0], s.partial[end:]...)
	if err == nil && len(s.partial) > maxLine {
		err = ErrMalformed
	}
	return out, err
}

func (s *Stream) processLine(line []byte) error {
	var c engine.Chunk
	if len(line) > maxLine || json.Unmarshal(line, &c) != nil {
		return ErrMalformed
	}
	switch {
	case s.done:
		return fmt.Errorf("%w: chunk after the last one", ErrGap)
	case c.Done && c.FinishReason == cancelled:
		return ErrCancelled
	case len(c.Tokens) > 0 && c.Index != len(s.tokens):
		return fmt.Errorf("%w: token %d after %d", ErrGap, c.Index, len(s.tokens))
	case len(s.tokens)+len(c.Tokens) > maxTokens:
		return fmt.Errorf("%w: over %d tokens", ErrMalformed, maxTokens)
	case c.Done && c.Index != len(s.tokens):
		return fmt.Errorf("%w: the end at %d after %d", ErrGap, c.Index, len(s.tokens))
	}
	if len(c.Tokens) > 0 {
		same := c.WeightVersion != 0 && c.WeightVersion == s.version
		if s.newEndpoint && s.sameVersion && !same {
			return fmt.Errorf("%w: %d after %d", ErrVersion, c.WeightVersion, s.version)
		}
		s.newEndpoint, s.version = false, c.WeightVersion
	}
	s.tokens = append(s.tokens, c.Tokens...)
	s.done = c.Done
	return nil
}

// EndSegment must be called when the stream of the current endpoint has ended
// and another endpoint continues it. An incomplete line is discarded.
func (s *Stream) EndSegment() {
	s.partial = s.partial[:0]
	s.newEndpoint = len(s.tokens) > s.requestTokens
}

// Done reports whether the last chunk was received.
func (s *Stream) Done() bool { return s.done }

// Started reports whether any token was received.
func (s *Stream) Started() bool { return len(s.tokens) > s.requestTokens }

// Body returns the request body for the next endpoint, which continues after the
// tokens so far. Fields that are not part of GenerateRequest are kept unchanged.
func (s *Stream) Body() []byte {
	next := make(map[string]json.RawMessage, len(s.request)+1)
	for k, v := range s.request {
		next[k] = v
	}
	next["resume"], _ = json.Marshal(s.tokens) // integers always encode
	body, _ := json.Marshal(next)
	return body
}
