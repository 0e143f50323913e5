package daemontest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/engine"
)

// Response is the response to a caller. Its Status is 0 if no response was
// received.
type Response struct {
	Status int
	Effect string
	Code   string
	Body   string
	// Complete reports that the body was read to its end.
	Complete bool
}

// Send sends a request to a plain service through the instance. If edit is set,
// it modifies the request before it is sent. Send returns an error only if the
// request can't be constructed.
func (in *Instance) Send(service, key, body string, edit func(*http.Request)) (Response, error) {
	r, err := http.NewRequest("POST", in.serviceURL(service)+"/do", strings.NewReader(body))
	if err != nil {
		return Response{}, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	if edit != nil {
		edit(r)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return Response{}, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return Response{
		Status: resp.StatusCode, Effect: resp.Header.Get(api.EffectHeader),
		Code: resp.Header.Get(api.CodeHeader), Body: string(text), Complete: err == nil,
	}, nil
}

// Stream reads a stream of tokens through the instance, calls onTokens with the
// number of tokens so far after each chunk, and reports whether the stream was
// complete.
// It returns an error if a chunk does not continue where the previous one ended.
func (in *Instance) Stream(service, key string, req engine.GenerateRequest, onTokens func(int)) (tokens []int32, complete bool, err error) {
	body, _ := json.Marshal(req)
	r, _ := http.NewRequest("POST", in.serviceURL(service)+"/v1/generate", bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	resp, callErr := http.DefaultClient.Do(r)
	if callErr != nil {
		return nil, false, nil
	}
	defer resp.Body.Close()
	for dec := json.NewDecoder(resp.Body); ; {
		var c engine.Chunk
		if resp.StatusCode != http.StatusOK || dec.Decode(&c) != nil {
			return tokens, false, err
		}
		if len(c.Tokens) > 0 && c.Index != len(tokens) {
			err = fmt.Errorf("%s: chunk starts at token %d after %d tokens", req.Prompt, c.Index, len(tokens))
		}
		tokens = append(tokens, c.Tokens...)
		onTokens(len(tokens))
		if c.Done {
			return tokens, true, err
		}
	}
}

func (in *Instance) serviceURL(service string) string {
	return "http://" + in.Settings.Listen.Callers + "/v1/services/" + service
}

// ForEachConcurrently calls f once for each i from 1 to n. The calls are
// distributed among concurrent goroutines, as many as callers; caller is the
// index of the goroutine, from 0.
func ForEachConcurrently(callers, n int, f func(caller, i int)) {
	var wg sync.WaitGroup
	var next atomic.Int64
	for caller := range callers {
		wg.Go(func() {
			for i := int(next.Add(1)); i <= n; i = int(next.Add(1)) {
				f(caller, i)
			}
		})
	}
	wg.Wait()
}
