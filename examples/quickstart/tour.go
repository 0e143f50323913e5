package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/view"
)

const (
	teamName    = "coaches"
	serviceName = "tagger"
	callerKey   = "quickstart-key"
	tokenCount  = 24
	// retryPause is the time between two attempts of retryUntilSuccess, which
	// mostly waits for a change to reach an instance.
	retryPause = 20 * time.Millisecond
)

// tour contains the state that the parts share.
type tour struct {
	sys     *daemontest.System
	http    *http.Client
	engines []*daemontest.Endpoint
	entry   string // address of the instance that receives the requests
}

func newTour(sys *daemontest.System) *tour {
	return &tour{sys: sys, http: &http.Client{}}
}

// operator returns a client of the operators' interface of an instance.
func (t *tour) operator(instance int) *api.Client {
	addr := t.sys.Instances[instance].Settings.Listen.Operators
	return &api.Client{BaseURL: "http://" + addr, Operator: "quickstart", HTTP: t.http}
}

// retryUntilSuccess calls f until it succeeds or ctx ends, and returns the last
// error of f.
func retryUntilSuccess(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause):
		}
	}
}

func applyDeployment(ctx context.Context, t *tour) (string, error) {
	deployment, err := t.deployment()
	if err != nil {
		return "", err
	}
	var resp api.ChangeResponse
	err = retryUntilSuccess(ctx, func() error {
		resp, err = t.operator(0).Change(ctx, api.ChangeRequest{Put: deployment})
		return err
	})
	return fmt.Sprintf("version %d, %d objects", resp.Version, len(resp.Diff)), err
}

// deployment starts a fake engine for each instance and returns the
// configuration objects.
func (t *tour) deployment() (config.Objects, error) {
	o := config.Objects{
		Teams: []config.Team{{Meta: config.Meta{Name: teamName}, Weight: 1}},
		Keys: []config.Key{{
			Meta: config.Meta{Name: "coaches-1"}, Team: teamName, Digest: view.Digest(callerKey),
		}},
		Services: []config.Service{{
			Meta: config.Meta{Name: serviceName}, Type: config.ServiceEngine,
			Endpoints: label.MustParse("app=tagger"),
		}},
	}
	for i, in := range t.sys.Instances {
		o.Members = append(o.Members, config.Member{
			Meta: config.Meta{Name: in.Settings.Name}, DataCentre: in.Settings.DataCentre,
		})
		labels := map[string]string{"app": "tagger", "zone": in.Settings.DataCentre, "tier": "cheap"}
		e, object, err := t.sys.AddEngine(fmt.Sprintf("engine-%d", i+1), in.Settings.DataCentre, labels,
			fakeengine.Options{TokenDelay: time.Millisecond, ChunkTokens: 4, MaxRunning: 16, Version: 1})
		if err != nil {
			return o, err
		}
		t.engines = append(t.engines, e)
		o.Endpoints = append(o.Endpoints, object)
	}
	return o, nil
}

func selectByLabel(ctx context.Context, t *tour) (string, error) {
	o, err := t.operator(0).Objects(ctx, config.KindEndpoint, "zone=dc-a,tier=cheap")
	if err != nil {
		return "", err
	}
	if len(o.Endpoints) != 1 {
		return "", fmt.Errorf("got %d endpoints, want 1", len(o.Endpoints))
	}
	return o.Endpoints[0].Name, nil
}

func listEntries(ctx context.Context, t *tour) (string, error) {
	var list struct {
		Entries []struct {
			Addr string `json:"addr"`
		} `json:"entries"`
		KeepMillis int64 `json:"keep_ms"`
	}
	url := "http://" + t.sys.Instances[0].Settings.Listen.Callers + "/v1/entries"
	err := retryUntilSuccess(ctx, func() error {
		if err := t.getJSON(ctx, url, &list); err != nil {
			return err
		}
		if len(list.Entries) != len(t.sys.Instances) {
			return fmt.Errorf("got %d entries, want %d", len(list.Entries), len(t.sys.Instances))
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	t.entry = list.Entries[0].Addr
	return fmt.Sprintf("%d addresses, keep for %d ms", len(list.Entries), list.KeepMillis), nil
}

func (t *tour) getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := t.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

func streamAnswer(ctx context.Context, t *tour) (string, error) {
	var got []int32
	err := retryUntilSuccess(ctx, func() error {
		var err error
		got, err = t.generate(ctx, t.entry, callerKey)
		return err
	})
	if err != nil {
		return "", err
	}
	if want := fakeengine.Tokens("a prompt", 7, tokenCount); !slices.Equal(got, want) {
		return "", fmt.Errorf("got tokens %v, want %v", got, want)
	}
	return fmt.Sprintf("%d tokens", len(got)), nil
}

// generate requests one streamed answer at addr and returns its tokens.
func (t *tour) generate(ctx context.Context, addr, key string) ([]int32, error) {
	body, err := json.Marshal(engine.GenerateRequest{Prompt: "a prompt", MaxTokens: tokenCount, Seed: 7})
	if err != nil {
		return nil, err
	}
	url := "http://" + addr + "/v1/services/" + serviceName + "/v1/generate"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := t.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		e := &api.RemoteError{Status: resp.StatusCode}
		_ = json.NewDecoder(resp.Body).Decode(&e.Body) // the status is sufficient if the body is invalid
		return nil, e
	}
	return readTokens(resp.Body)
}

func readTokens(r io.Reader) ([]int32, error) {
	var tokens []int32
	dec := json.NewDecoder(r)
	for {
		var c engine.Chunk
		if err := dec.Decode(&c); err != nil {
			return nil, fmt.Errorf("answer ended early: %w", err)
		}
		tokens = append(tokens, c.Tokens...)
		if c.Done {
			return tokens, nil
		}
	}
}

// checkCode returns nil if err is a response with the code n, and an error
// otherwise.
func checkCode(err error, n code.Number) error {
	var re *api.RemoteError
	if !errors.As(err, &re) || re.Body.Code != int(n) {
		return fmt.Errorf("got %w, want code %d", errors.Join(err, errors.New("a different result")), n)
	}
	return nil
}

func refuseWrongKey(ctx context.Context, t *tour) (string, error) {
	const wrongKey = "not-a-key-of-anyone"
	_, err := t.generate(ctx, t.entry, wrongKey)
	if err := checkCode(err, code.KeyUnknown); err != nil {
		return "", err
	}
	for _, e := range t.engines {
		if e.ReceivedText(wrongKey) || e.ReceivedText(callerKey) {
			return "", errors.New("an endpoint saw a key")
		}
	}
	return fmt.Sprintf("code %d, no endpoint saw a key", code.KeyUnknown), nil
}

func withdrawKey(ctx context.Context, t *tour) (string, error) {
	k, err := t.operator(1).CreateKey(ctx, api.KeyRequest{Name: "coaches-2", Team: teamName})
	if err != nil {
		return "", err
	}
	callWithKey := func(i int) error {
		_, err := t.generate(ctx, t.sys.Instances[i].Settings.Listen.Callers, k.Key)
		return err
	}
	for i := range t.sys.Instances {
		if err := retryUntilSuccess(ctx, func() error { return callWithKey(i) }); err != nil {
			return "", err
		}
	}
	if _, err := t.operator(2).WithdrawKey(ctx, k.Name); err != nil {
		return "", err
	}
	for i := range t.sys.Instances {
		if err := retryUntilSuccess(ctx, func() error { return checkCode(callWithKey(i), code.KeyWithdrawn) }); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("refused with code %d at all instances", code.KeyWithdrawn), nil
}

func changeEverywhere(ctx context.Context, t *tour) (string, error) {
	change := config.Objects{Teams: []config.Team{{Meta: config.Meta{Name: teamName}, Weight: 2}}}
	resp, err := t.operator(0).Change(ctx, api.ChangeRequest{Put: change})
	if err != nil {
		return "", err
	}
	for i := range t.sys.Instances {
		err := retryUntilSuccess(ctx, func() error {
			s, err := t.operator(i).Status(ctx)
			if err == nil && s.Version < resp.Version {
				return fmt.Errorf("%s has version %d", s.Instance, s.Version)
			}
			return err
		})
		if err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("version %d", resp.Version), nil
}

func readAudit(ctx context.Context, t *tour) (string, error) {
	page, err := t.operator(2).Audit(ctx, 0, 100)
	if err != nil {
		return "", err
	}
	if len(page.Rows) != 4 {
		return "", fmt.Errorf("got %d rows, want 4", len(page.Rows))
	}
	return fmt.Sprintf("%d rows, last: %s by %s", len(page.Rows), page.Rows[3].Action, page.Rows[3].Operator), nil
}
