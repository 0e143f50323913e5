package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/controller/rollout"
	"github.com/cumincove/cumincove/ledger"
	step "github.com/cumincove/cumincove/rollout"
)

const stepID = "quickstart-step"

// runStep opens a rollout step at one instance and pulls its samples from all
// instances in turn until the step is complete.
func runStep(ctx context.Context, t *tour) (string, error) {
	spec := step.Spec{
		ID: stepID, Service: serviceName, Prompts: []string{"first", "second", "third"},
		Samples: 4, MaxTokens: 32, Seed: 1, MaxStaleness: 1,
	}
	var opened rollout.OpenResponse
	if err := t.callAsTrainer(ctx, 0, http.MethodPost, "/v1/steps", spec, &opened); err != nil {
		return "", err
	}
	slots := map[ledger.Slot]bool{}
	cursor := opened.Cursor
	for i := 0; ; i++ {
		var page rollout.Samples
		q := url.Values{"cursor": {cursor}, "wait": {"2s"}}
		path := "/v1/steps/" + stepID + "/samples?" + q.Encode()
		if err := t.callAsTrainer(ctx, i%len(t.sys.Instances), http.MethodGet, path, nil, &page); err != nil {
			return "", err
		}
		for _, s := range page.Samples {
			if slots[s.Slot] || !s.Attributed() {
				return "", fmt.Errorf("sample %+v was delivered twice or has no weight version", s.Slot)
			}
			slots[s.Slot] = true
		}
		if page.Done {
			break
		}
		cursor = page.Next
	}
	if want := len(spec.Prompts) * spec.Samples; len(slots) != want {
		return "", fmt.Errorf("got %d samples, want %d", len(slots), want)
	}
	return fmt.Sprintf("%d samples, each once, with weight versions", len(slots)), nil
}

// callAsTrainer makes one call with the caller's key and decodes the response into
// out. It repeats the call until it succeeds or ctx ends.
func (t *tour) callAsTrainer(ctx context.Context, instance int, method, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	url := "http://" + t.sys.Instances[instance].Settings.Listen.Callers + path
	return retryUntilSuccess(ctx, func() error {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+callerKey)
		resp, err := t.http.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode >= http.StatusBadRequest {
			return fmt.Errorf("status %s, code %s", resp.Status, resp.Header.Get(api.CodeHeader))
		}
		return json.NewDecoder(resp.Body).Decode(out)
	})
}
