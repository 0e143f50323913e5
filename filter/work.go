package filter

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/prefix"
)

// generatePath is the path at which engines generate tokens.
const generatePath = "/v1/generate"

// bytesPerToken estimates the tokens of a text from its bytes.
const bytesPerToken = 4

// work describes the request to the dispatcher: its team and estimated cost for the
// fair queue, its deadline, and which endpoints are eligible or preferred.
func (t *task) work() dispatch.Work {
	r := t.r
	g, isGenerate := generateRequest(r)
	w := dispatch.Work{
		Service:      r.Service.Name,
		Team:         r.Team,
		Weight:       r.View.Config.Teams[r.Team].Weight,
		Class:        fairqueue.Interactive,
		Deadline:     r.Deadline,
		Avoid:        t.lastEndpoint,
		Requirements: r.Requirements,
		Route:        r.Route.Name,
		Size:         len(r.Body),
		Priority:     r.View.Config.Priority(r.Route, r.Team),
	}
	if r.Step != nil {
		w.Priority, w.Due, w.Yields = r.Step.Priority, r.Step.Due, true
	}
	if r.Service.Type != config.ServiceEngine {
		w.Kind = r.Route.Name
	}
	if !isGenerate {
		return w
	}
	w.Tokens = max(g.MaxTokens, 0) + len(g.Prompt)/bytesPerToken
	w.Size = w.Tokens
	if r.Service.PrefixAffinity > 0 {
		w.Prefix = prefix.Hashes(r.Service.Name+"/"+g.Adapter, g.Prompt)
	}
	return w
}

// generateRequest parses the body of a request that generates tokens. It returns
// false for any other request.
func generateRequest(r *Request) (g engine.GenerateRequest, ok bool) {
	if r.Service.Type != config.ServiceEngine || r.Path != generatePath {
		return g, false
	}
	err := json.Unmarshal(r.Body, &g)
	return g, err == nil
}

// rawPath returns the path in the caller's escaping if that differs from the
// default escaping, and an empty string otherwise.
func rawPath(r *Request) string {
	if r.URL.RawPath == "" || r.Route.Name != "" {
		return r.URL.RawPath
	}
	_, path, _ := strings.Cut(strings.TrimPrefix(r.URL.RawPath, ServicePrefix), "/")
	return "/" + path
}

// target returns the path and the query that an endpoint receives, as the caller sent
// them.
func target(r *Request) string {
	path := rawPath(r)
	if path == "" {
		path = (&url.URL{Path: r.Path}).EscapedPath()
	}
	if r.URL.RawQuery == "" && !r.URL.ForceQuery {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

// attemptID returns the ID that an endpoint receives: the request's own ID for the
// first attempt, and a different ID for each later attempt, so that a late
// response to one attempt is not mistaken for a response to another.
func attemptID(id string, n int) string {
	if n <= 1 {
		return id
	}
	return id + "." + strconv.Itoa(n)
}
