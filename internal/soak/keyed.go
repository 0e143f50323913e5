package soak

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/engine"
)

// longStreamTokens is the length of a stream that would still be running after
// withdrawBound if the withdrawal of its key did not stop it.
const longStreamTokens = 2400

// longRequest returns the body of a request for such a stream.
func longRequest(content string) []byte {
	body, err := json.Marshal(engine.GenerateRequest{Prompt: content, MaxTokens: longStreamTokens, Seed: 3})
	if err != nil {
		panic(err)
	}
	return body
}

// readKeyedStream reads a stream to its end and checks that no token arrives after
// the bound on the key's withdrawal.
func (env *environment) readKeyedStream(resp *http.Response, in *instance, use *keyUse, content string) {
	dec := json.NewDecoder(resp.Body)
	for {
		var chunk engine.Chunk
		if err := dec.Decode(&chunk); err != nil {
			return
		}
		now := time.Now()
		pastBound := use.pastBound(now)
		env.oracle.check(WithdrawnKeyStops, !pastBound, "%s at %s: tokens under %s at %s, withdrawn at %s",
			content, in.name, use.name, now.Format(time.TimeOnly), time.Unix(0, use.withdrawnAt.Load()).UTC().Format(time.TimeOnly))
		if pastBound || chunk.Done {
			return
		}
	}
}
