package filter

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/prefix"
)

// generatePath is where engines generate tokens.
const generatePath = "/v1/generate"

// bytesPerToken estimates the tokens of a text from its bytes.
const bytesPerToken = 4

// work says what the request asks of the dispatcher.
func (t *try) work() dispatch.Work {
	r := t.r
	g, isGenerate := generateRequest(r)
	w := dispatch.Work{
		Service:  r.Service.Name,
		Team:     r.Team,
		Weight:   r.View.Config.Teams[r.Team].Weight,
		Class:    fairqueue.Interactive,
		Deadline: r.Deadline,
		Avoid:    t.last,
		Want:     r.Want,
	}
	if !isGenerate {
		return w
	}
	w.Tokens = max(g.MaxTokens, 0) + len(g.Prompt)/bytesPerToken
	if r.Service.PrefixAffinity > 0 {
		w.Prefix = prefix.Hashes(r.Service.Name+"/"+g.Adapter, g.Prompt)
	}
	return w
}

// generateRequest reads a request for tokens, if it is one.
func generateRequest(r *Request) (g engine.GenerateRequest, ok bool) {
	if r.Service.Type != config.ServiceEngine || r.Path != generatePath {
		return g, false
	}
	err := json.Unmarshal(r.Body, &g)
	return g, err == nil
}

// rawPath returns the path as the caller escaped it, if that is not the usual
// way to escape it.
func rawPath(r *Request) string {
	if r.URL.RawPath == "" || r.Route.Name != "" {
		return r.URL.RawPath
	}
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.RawPath, ServicePrefix), "/")
	return "/" + path
}

// attemptID returns the ID that an endpoint sees: the request's own for the
// first attempt, and a different one for each later attempt, so that a late
// answer to one is not taken for an answer to another.
func attemptID(id string, n int) string {
	if n <= 1 {
		return id
	}
	return id + "." + strconv.Itoa(n)
}
