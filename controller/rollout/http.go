package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/filter"
	"github.com/cumincove/cumincove/internal/pb/rolloutv1"
	"github.com/cumincove/cumincove/internal/pb/rolloutv1/rolloutv1connect"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
	"github.com/cumincove/cumincove/view"
)

const (
	// defaultPullSamples and maxPullSamples are the default and the maximum
	// number of samples in a response.
	defaultPullSamples = 256
	maxPullSamples     = 8192
	// maxPullWait is the longest time that a pull waits for samples.
	maxPullWait = 10 * time.Second
	// defaultPageSize and maxPageSize are the default and the maximum number of
	// steps on a page.
	defaultPageSize = 100
	maxPageSize     = 1000
)

// ServeOpen serves POST /v1/steps.
func (c *Controller) ServeOpen(w http.ResponseWriter, r *filter.Request) error {
	var spec rollout.Spec
	dec := json.NewDecoder(bytes.NewReader(r.Body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&spec); err != nil {
		return code.Wrap(code.BadRequest, err, "%v", err)
	}
	if err := spec.Validate(); err != nil {
		return code.Wrap(code.BadRequest, err, "%v", err)
	}
	if groupBytes(spec) > c.o.MaxBufferedBytes {
		return code.New(code.BadRequest, "a group takes more than the memory set aside, %d bytes", c.o.MaxBufferedBytes)
	}
	if err := checkService(r.View, r.Team, spec.Service); err != nil {
		return err
	}
	if err := checkScorer(r.View, r.Team, spec.Scoring); err != nil {
		return err
	}
	resp, err := c.open(r.Context(), r.Team, r.KeyDigest, spec)
	if err != nil {
		return err
	}
	return writeJSON(w, resp)
}

// checkService returns an error if the team may not use the engine service.
func checkService(v *view.View, team, service string) error {
	s, ok := v.Config.Services[service]
	if !ok || s.Type != config.ServiceEngine {
		return code.New(code.NoSuchRoute, "no engine service %q", service)
	}
	if len(s.Teams) > 0 && !slices.Contains(s.Teams, team) {
		return code.New(code.TeamNotAllowed, "service %q", service)
	}
	return nil
}

// checkScorer returns an error if the team may not call the scoring service.
func checkScorer(v *view.View, team string, scoring *rollout.Scoring) error {
	if scoring == nil {
		return nil
	}
	s, ok := v.Config.Services[scoring.Service]
	if !ok || s.Type != config.ServicePlain {
		return code.New(code.NoSuchRoute, "no plain service %q", scoring.Service)
	}
	if !filter.MayCall(s, team) {
		return code.New(code.TeamNotAllowed, "service %q", scoring.Service)
	}
	return nil
}

// ServeList serves GET /v1/steps, one page for each request.
func (c *Controller) ServeList(w http.ResponseWriter, r *filter.Request) error {
	limit, err := intParam(r, "limit", defaultPageSize, maxPageSize)
	if err != nil {
		return err
	}
	ids, err := c.rows.steps(r.Context(), r.Team, r.FormValue("after"), limit)
	if err != nil {
		return storeError(err)
	}
	list := StepList{Steps: ids}
	if len(ids) == limit {
		list.After = ids[limit-1]
	}
	return writeJSON(w, list)
}

// ServeProgress serves GET /v1/steps/{id}.
func (c *Controller) ServeProgress(w http.ResponseWriter, r *filter.Request) error {
	k := stepKey{r.Team, r.PathValue("id")}
	res, err := c.do(r.Context(), k, call{
		local: func(_ context.Context, w *worker) (any, error) { return w.progress(), nil },
		remote: func(ctx context.Context, peer rolloutv1connect.RolloutServiceClient) (*rolloutv1.Answer, error) {
			resp, err := peer.Progress(ctx, connect.NewRequest(&rolloutv1.ProgressRequest{Step: k.proto()}))
			if err != nil {
				return nil, err
			}
			return resp.Msg, nil
		},
	})
	if err != nil {
		return err
	}
	return writeBody(w, res.body)
}

// ServePull serves GET /v1/steps/{id}/samples.
func (c *Controller) ServePull(w http.ResponseWriter, r *filter.Request) error {
	maxSamples, err := intParam(r, "max", defaultPullSamples, maxPullSamples)
	if err != nil {
		return err
	}
	version, err := uintParam(r, "version")
	if err != nil {
		return err
	}
	wait, err := waitParam(r)
	if err != nil {
		return err
	}
	p, err := newPull(r.FormValue("cursor"), maxSamples, version)
	if err != nil {
		return err
	}
	res, err := c.pull(r.Context(), stepKey{r.Team, r.PathValue("id")}, p, wait)
	if err != nil {
		return err
	}
	if k, ok := c.o.Views.Load().KeyByDigest(r.KeyDigest); !ok || k.Withdrawn {
		return code.New(code.KeyWithdrawnRunning, "")
	}
	return writeBody(w, res.body)
}

// minPullWait is the shortest wait that is worth another call, since peers
// receive waits in whole milliseconds.
const minPullWait = time.Millisecond

// pull returns samples, or none once wait has passed. It waits in several calls
// of at most maxPeerWait each, so that it notices an owner that stopped in the
// meantime.
func (c *Controller) pull(ctx context.Context, k stepKey, p pullRequest, wait time.Duration) (result, error) {
	end := c.o.Clock.Now() + wait
	for {
		callWait := min(max(end-c.o.Clock.Now(), 0), maxPeerWait)
		res, err := c.do(ctx, k, p.call(k, callWait))
		if err != nil || !res.empty || end-c.o.Clock.Now() < minPullWait {
			return res, err
		}
	}
}

// call returns the call for a pull that waits for samples for up to wait.
func (p pullRequest) call(k stepKey, wait time.Duration) call {
	return call{
		local: func(ctx context.Context, w *worker) (any, error) { return w.pull(ctx, p, wait) },
		remote: func(ctx context.Context, peer rolloutv1connect.RolloutServiceClient) (*rolloutv1.Answer, error) {
			resp, err := peer.Pull(ctx, connect.NewRequest(&rolloutv1.PullRequest{
				Step:       k.proto(),
				Cursor:     p.cursor.String(),
				MaxSamples: int32(p.max),
				WaitMs:     wait.Milliseconds(),
				Version:    p.version,
			}))
			if err != nil {
				return nil, err
			}
			return resp.Msg, nil
		},
	}
}

func (k stepKey) proto() *rolloutv1.Step {
	return &rolloutv1.Step{Team: k.team, Id: k.id}
}

func newPull(cursor string, maxSamples int, version uint64) (pullRequest, error) {
	cur, err := ledger.ParseCursor(cursor)
	if err != nil {
		return pullRequest{}, code.Wrap(code.CursorAhead, err, "malformed")
	}
	return pullRequest{cursor: cur, max: min(max(maxSamples, 1), maxPullSamples), version: version}, nil
}

func intParam(r *filter.Request, name string, def, limit int) (int, error) {
	text := r.FormValue(name)
	if text == "" {
		return def, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return 0, code.New(code.BadRequest, "%s must be a number from 1", name)
	}
	return min(n, limit), nil
}

func uintParam(r *filter.Request, name string) (uint64, error) {
	text := r.FormValue(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, code.New(code.BadRequest, "%s must be a number", name)
	}
	return n, nil
}

func waitParam(r *filter.Request) (time.Duration, error) {
	text := r.FormValue("wait")
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, code.New(code.BadRequest, `wait must be a duration such as "5s"`)
	}
	return min(d, maxPullWait), nil
}

func writeJSON(w http.ResponseWriter, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return writeBody(w, body)
}

func writeBody(w http.ResponseWriter, body []byte) error {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body)
	return err
}
