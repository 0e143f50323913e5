package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
)

// maxCallerPause bounds the pause between two requests of a caller.
const maxCallerPause = 400 * time.Millisecond

// result is the outcome of one request as the caller observed it.
type result struct {
	content string
	status  int
	effect  code.Effect
	code    code.Number
	// complete indicates that the end of the response was received, interrupted
	// that the connection failed before that.
	complete, interrupted bool
	err                   error
}

// callLog collects the contents of requests for the checks at the end of the
// run.
type callLog struct {
	mu sync.Mutex
	// notRun contains the requests that the system reported as "not run".
	notRun []string
	// nonIdempotent contains the requests to services that are not idempotent.
	// Each was sent once.
	nonIdempotent []string
	// unauthorized contains the requests of callers that may not call the service.
	unauthorized []string
}

func (c *callLog) add(list *[]string, content string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, content)
}

// totalRuns returns how often a request was run at all endpoints together.
func (env *environment) totalRuns(records []runCounts, content string) int {
	n := 0
	for _, r := range records {
		n += r[content]
	}
	return n
}

// runCounts contains how often each request was run at one endpoint, by content.
type runCounts map[string]int

func (env *environment) endpointRunCounts() []runCounts {
	var list []runCounts
	for _, ep := range env.allEndpoints() {
		list = append(list, ep.Record().RunsByContent)
	}
	return list
}

// checkCallLog checks the guarantees that depend on the endpoints' records.
func (env *environment) checkCallLog(c *callLog) {
	records := env.endpointRunCounts()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, content := range c.notRun {
		env.oracle.check(NotRunIsTrue, env.totalRuns(records, content) == 0, "%s ran although it was refused as not run", content)
	}
	for _, content := range c.nonIdempotent {
		n := env.totalRuns(records, content)
		env.oracle.check(AtMostOnce, n <= 1, "%s ran %d times", content, n)
	}
	for _, content := range c.unauthorized {
		env.oracle.check(OwnTeamOnly, env.totalRuns(records, content) == 0, "%s ran for a team that may not call the service", content)
	}
	for _, ep := range env.allEndpoints() {
		received := ep.ReceivedText(secretPrefix) || ep.ReceivedText("cck_")
		env.oracle.check(KeyNeverLeaves, !received, "%s received a key", ep.host)
	}
}

// caller sends requests one after another until ctx ends.
func (env *environment) caller(ctx context.Context, id int, c *callLog) {
	rnd := env.random(fmt.Sprintf("caller-%d", id))
	client := env.client()
	for ctx.Err() == nil {
		live := env.live()
		if len(live) > 0 {
			env.callRandomService(ctx, client, rnd, live[rnd.IntN(len(live))], c)
		}
		pause(ctx, time.Duration(rnd.Int64N(int64(maxCallerPause))))
	}
}

func (env *environment) callRandomService(ctx context.Context, client *http.Client, rnd *rand.Rand, in *instance, c *callLog) {
	team := rnd.IntN(teamCount)
	switch k := rnd.IntN(10); {
	case k < 5:
		env.callTagger(ctx, client, in, teamSecret(team), 4+rnd.IntN(120), c)
	case k < 8:
		env.callPlain(ctx, client, in, clipService, teamSecret(team), c)
	case k < 9:
		env.callPrivate(ctx, client, in, team, c)
	default:
		env.callWithUnknownKey(ctx, client, in, c)
	}
}

func (env *environment) newContent(kind string) string {
	return fmt.Sprintf("%s-%d", kind, env.contentCounter.Add(1))
}

// callTagger streams one response. It checks that the response belongs to the
// request and is either complete or recognizably truncated.
func (env *environment) callTagger(ctx context.Context, client *http.Client, in *instance, secret string, tokens int, c *callLog) result {
	content := env.newContent("prompt")
	body, err := json.Marshal(engine.GenerateRequest{Prompt: content, MaxTokens: tokens, Seed: 3})
	if err != nil {
		panic(err)
	}
	r, resp := env.send(ctx, client, in, taggerService+"/v1/generate", secret, content, body)
	if resp == nil {
		env.record(in, r, c)
		return r
	}
	defer resp.Body.Close()
	var got []int32
	dec := json.NewDecoder(resp.Body)
	for !r.complete {
		var chunk engine.Chunk
		if err := dec.Decode(&chunk); err != nil {
			r.interrupted, r.err = true, err
			env.oracle.check(OwnWholeAnswer, !errors.Is(err, io.EOF), "%s at %s: a truncated response looks complete", content, in.name)
			env.record(in, r, c)
			return r
		}
		for _, t := range chunk.Tokens {
			token, _ := fakeengine.SplitToken(t)
			got = append(got, token)
		}
		r.complete = chunk.Done
	}
	want := fakeengine.Tokens(content, 3, tokens)
	env.oracle.check(OwnWholeAnswer, slices.Equal(got, want), "%s at %s: got %d tokens that differ from the expected %d", content, in.name, len(got), len(want))
	env.record(in, r, c)
	return r
}

// callPlain calls a plain service that is not idempotent.
func (env *environment) callPlain(ctx context.Context, client *http.Client, in *instance, service, secret string, c *callLog) result {
	content := env.newContent("call")
	c.add(&c.nonIdempotent, content)
	r, resp := env.send(ctx, client, in, service+"/echo", secret, content, []byte(content))
	if resp != nil {
		defer resp.Body.Close()
		var echo fakeendpoint.Echo
		if err := json.NewDecoder(resp.Body).Decode(&echo); err != nil {
			r.interrupted, r.err = true, err
		} else {
			r.complete = true
			env.oracle.check(OwnWholeAnswer, echo.Body == content, "%s at %s: got the response to %s", content, in.name, echo.Body)
		}
	}
	env.record(in, r, c)
	return r
}

// callPrivate calls privateService with the key of a team. Only ownerTeam's call
// may succeed.
func (env *environment) callPrivate(ctx context.Context, client *http.Client, in *instance, team int, c *callLog) {
	content := env.newContent("foreign")
	if teamName(team) == ownerTeam {
		env.callPlain(ctx, client, in, privateService, teamSecret(team), c)
		return
	}
	c.add(&c.unauthorized, content)
	r, resp := env.send(ctx, client, in, privateService+"/echo", teamSecret(team), content, []byte(content))
	if resp != nil {
		resp.Body.Close()
		env.oracle.check(OwnTeamOnly, false, "%s at %s: status %d for a team that may not call the service", content, in.name, r.status)
	}
	env.record(in, r, c)
}

func (env *environment) callWithUnknownKey(ctx context.Context, client *http.Client, in *instance, c *callLog) {
	content := env.newContent("wrong")
	c.add(&c.unauthorized, content)
	r, resp := env.send(ctx, client, in, clipService+"/echo", secretPrefix+"nobody", content, []byte(content))
	if resp != nil {
		resp.Body.Close()
		env.oracle.check(OwnTeamOnly, false, "%s at %s: status %d for an unknown key", content, in.name, r.status)
	}
	env.record(in, r, c)
}

// send posts a request. The response is nil unless its status is 200.
func (env *environment) send(ctx context.Context, client *http.Client, in *instance, path, secret, content string, body []byte) (result, *http.Response) {
	r := result{content: content}
	url := "http://" + in.settings.Listen.Callers + "/v1/services/" + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := client.Do(req)
	if err != nil {
		r.interrupted, r.err = true, err
		return r, nil
	}
	r.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK {
		return r, resp
	}
	defer resp.Body.Close()
	var e api.Error
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		r.interrupted, r.err = true, err
		return r, nil
	}
	r.effect, r.code = code.Effect(e.Effect), code.Number(e.Code)
	return r, nil
}

// record adds the request to the call log if it was reported as not run.
func (env *environment) record(in *instance, r result, c *callLog) {
	if r.effect == code.NotRun {
		c.add(&c.notRun, r.content)
	}
	if r.interrupted && r.err != nil {
		env.log.Debug("request interrupted", "content", r.content, "instance", in.name, "error", r.err)
	}
}
