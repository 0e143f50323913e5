package resume_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/resume"
)

func token(i int) int32 { return int32(7*i + 3) }

// produce returns the stream of an endpoint: the tokens after those of the
// request, in chunks of n tokens with the given weight version. Faults 1 to 3
// make the stream invalid.
func produce(g engine.GenerateRequest, n int, version uint64, fault int) []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	from := len(g.Resume)
	if fault == 1 { // the last token of the request is repeated
		from = max(from-1, 0)
	}
	for i := from; i < g.MaxTokens; i += n {
		c := engine.Chunk{Index: i, WeightVersion: version}
		for j := i; j < min(i+n, g.MaxTokens); j++ {
			c.Tokens = append(c.Tokens, token(j))
		}
		if fault == 2 && i > from { // a chunk is lost
			fault = 0
			continue
		}
		_ = enc.Encode(c)
	}
	last := engine.Chunk{Index: g.MaxTokens, WeightVersion: version, Done: true, FinishReason: "length"}
	if fault == 3 {
		last.FinishReason = "cancelled"
	}
	_ = enc.Encode(last)
	return b.Bytes()
}

// TestReaderGetsSingleStream checks that the reader gets a single valid stream,
// when streams are interrupted at any byte and continue at endpoints with other
// weight versions and with faults.
func TestReaderGetsSingleStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, name) }
		g := engine.GenerateRequest{Prompt: "p", MaxTokens: draw("tokens", 1, 12), Seed: 5}
		for i := range draw("brought", 0, g.MaxTokens) {
			g.Resume = append(g.Resume, token(i))
		}
		body, _ := json.Marshal(g)
		same := rapid.Bool().Draw(t, "same version")
		s, ok := resume.New(body, same)
		if !ok {
			t.Fatal("New refused a valid request")
		}
		var got bytes.Buffer
		sources := 0 // number of endpoints that returned tokens
		for range 30 {
			var next engine.GenerateRequest
			if err := json.Unmarshal(s.Body(), &next); err != nil || next.Seed != 5 || next.Prompt != "p" {
				t.Fatalf("invalid request for the next endpoint: %s", s.Body())
			}
			text := produce(next, draw("chunk", 1, 3), uint64(draw("version", 0, 2)), draw("fault", 0, 4))
			text = text[:min(draw("cut", 0, 2*len(text)), len(text))]
			before := len(next.Resume)
			for len(text) > 0 {
				n := draw("read", 1, len(text))
				out, err := s.Feed(text[:n])
				got.Write(out)
				if err != nil {
					break
				}
				text = text[n:]
			}
			if _ = json.Unmarshal(s.Body(), &next); len(next.Resume) > before {
				sources++
			}
			if s.Done() {
				break
			}
			s.EndSegment()
		}
		check(t, got.Bytes(), len(g.Resume), g.MaxTokens, same && sources > 1, s.Done())
	})
}

// check compares the bytes that the reader got with the single stream that it
// should get. The request contains the first requestTokens of maxTokens tokens.
func check(t *rapid.T, text []byte, requestTokens, maxTokens int, same, done bool) {
	var tokens, want []int32
	var versions []uint64
	ended := false
	for dec := json.NewDecoder(bytes.NewReader(text)); dec.More(); {
		var c engine.Chunk
		if err := dec.Decode(&c); err != nil || ended || c.FinishReason == "cancelled" {
			t.Fatalf("invalid chunk: error %v, after the last chunk %v: %s", err, ended, text)
		}
		if len(c.Tokens) > 0 && c.Index != requestTokens+len(tokens) {
			t.Fatalf("got a chunk with index %d, want %d", c.Index, requestTokens+len(tokens))
		}
		tokens = append(tokens, c.Tokens...)
		if len(c.Tokens) > 0 {
			versions = append(versions, c.WeightVersion)
		}
		ended = c.Done
	}
	for i := range tokens {
		want = append(want, token(requestTokens+i))
	}
	if !slices.Equal(tokens, want) || ended != done || ended && requestTokens+len(tokens) != maxTokens {
		t.Fatalf("got tokens %v, want %v; the maximum is %d, stream ended: %v", tokens, want, maxTokens, ended)
	}
	if same && (len(slices.Compact(versions)) > 1 || versions[0] == 0) {
		t.Fatalf("got weight versions %v, want a single one", versions)
	}
}

// TestEndBeforeTheLastToken checks that a stream is not done if its last chunk
// arrives but the last token is missing.
func TestEndBeforeTheLastToken(t *testing.T) {
	s, _ := resume.New([]byte(`{"max_tokens": 2}`), false)
	if _, err := s.Feed(produce(engine.GenerateRequest{MaxTokens: 2}, 1, 1, 2)); !errors.Is(err, resume.ErrGap) || s.Done() {
		t.Fatalf("got done %v and error %v, want ErrGap", s.Done(), err)
	}
}

// TestCutAtEveryByte checks that a stream can be interrupted at each byte.
func TestCutAtEveryByte(t *testing.T) {
	g := engine.GenerateRequest{MaxTokens: 20}
	body, _ := json.Marshal(g)
	full := produce(g, 1, 1, 0)
	for cut := range len(full) {
		s, _ := resume.New(body, true)
		head, err := s.Feed(full[:cut])
		s.EndSegment()
		var next engine.GenerateRequest
		if err != nil || json.Unmarshal(s.Body(), &next) != nil {
			t.Fatal(err)
		}
		tail, err := s.Feed(produce(next, 1, 1, 0))
		if err != nil || !s.Done() || string(head)+string(tail) != string(full) {
			t.Fatalf("cut at %d: %v, got %s%s", cut, err, head, tail)
		}
	}
}
