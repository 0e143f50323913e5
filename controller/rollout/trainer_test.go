package rollout_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	ctl "github.com/cumincove/cumincove/controller/rollout"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/invariant"
	"github.com/cumincove/cumincove/internal/systemtest"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
	"github.com/cumincove/cumincove/settings"
	"github.com/cumincove/cumincove/view"
)

const (
	trainerKey = "trainer-key"
	service    = "tagger"
	// testTimeout bounds a test. Only a test that hangs reaches it.
	testTimeout = 2 * time.Minute
)

// rig is a system under test with a trainer, which checks the samples it
// receives.
type rig struct {
	*testing.T
	ctx     context.Context
	sys     *daemontest.System
	engines []*daemontest.Endpoint
	// objects are the configuration objects of the engines.
	objects []config.Endpoint
	http    *http.Client

	spec rollout.Spec
	// published is the highest weight version published before the last pull
	// started.
	published uint64
	cursor    string
	got       map[ledger.Slot]ledger.Sample
	done      bool
}

// newRig starts a system of three data centres and configures it.
func newRig(t *testing.T, opt fakeengine.Options) *rig {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	invariant.OnBroken(func(n invariant.Name, detail string) { t.Errorf("invariant %s: %s", n, detail) })
	sys := systemtest.Start(t, daemontest.Options{
		DataCentres: []string{"dc-a", "dc-b", "dc-c"},
		Settings:    func(s *settings.Settings) { s.Timing.EntriesKeep = config.Duration(time.Second) },
	})
	r := &rig{
		T: t, ctx: ctx, sys: sys, got: map[ledger.Slot]ledger.Sample{},
		http: &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second},
	}
	r.deploy(opt)
	return r
}

// deploy commits the configuration, with one engine for each instance, and
// waits until it is in force at all instances.
func (r *rig) deploy(opt fakeengine.Options) {
	o := config.Objects{
		Teams: []config.Team{{Meta: config.Meta{Name: "celeste"}}, {Meta: config.Meta{Name: "sahra"}}},
		Keys: []config.Key{
			{Meta: config.Meta{Name: "k1"}, Team: "celeste", Digest: view.Digest(trainerKey)},
			{Meta: config.Meta{Name: "k2"}, Team: "sahra", Digest: view.Digest("other-key")},
		},
		Services: []config.Service{{
			Meta: config.Meta{Name: service}, Type: config.ServiceEngine, Endpoints: label.MustParse("app=tagger"),
		}},
	}
	for i, in := range r.sys.Instances {
		dc := in.Settings.DataCentre
		o.Members = append(o.Members, config.Member{Meta: config.Meta{Name: in.Settings.Name}, DataCentre: dc})
		e, object, err := r.sys.AddEngine(fmt.Sprintf("engine-%d", i+1), dc, map[string]string{"app": "tagger"}, opt)
		if err != nil {
			r.Fatal(err)
		}
		r.engines = append(r.engines, e)
		r.objects = append(r.objects, object)
	}
	o.Endpoints = r.objects
	r.apply(o)
	for i := range r.sys.Instances {
		var list ctl.StepList
		r.until("deployment in force", func() error {
			return r.call(i, trainerKey, http.MethodGet, "/v1/steps", nil, &list)
		})
	}
}

// apply commits a change to the configuration.
func (r *rig) apply(o config.Objects) {
	r.Helper()
	op := systemtest.OperatorClient(r.sys.Instances[0], r.http)
	r.until("change", func() error {
		_, err := op.Change(r.ctx, api.ChangeRequest{Put: o})
		return err
	})
}

// until repeats f until it succeeds.
func (r *rig) until(what string, f func() error) {
	r.Helper()
	systemtest.WaitFor(r.ctx, r, 20*time.Millisecond, what, f)
}

// call sends a request with the JSON body in to an instance, and decodes the
// response into out.
func (r *rig) call(instance int, key, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(raw)
	}
	addr := r.sys.Instances[instance].Settings.Listen.Callers
	req, err := http.NewRequestWithContext(r.ctx, method, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		e := &api.RemoteError{Status: resp.StatusCode}
		_ = json.NewDecoder(resp.Body).Decode(&e.Body) // without a body the status is enough
		return e
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// open opens a step through an instance.
func (r *rig) open(instance int, spec rollout.Spec) {
	r.spec = spec
	var resp ctl.OpenResponse
	r.until("open", func() error {
		return r.call(instance, trainerKey, http.MethodPost, "/v1/steps", spec, &resp)
	})
	r.cursor = resp.Cursor
}

// publish publishes a weight version through an instance.
func (r *rig) publish(instance int, version uint64) {
	var out struct{}
	r.until("publish", func() error {
		return r.call(instance, trainerKey, http.MethodPost, "/v1/services/"+service+"/weights",
			map[string]uint64{"version": version}, &out)
	})
	r.published = version
}

// pull pulls once through an instance. If lost is set, it ignores the response
// as if it had been lost.
func (r *rig) pull(instance, maxSamples int, lost bool) error {
	path := fmt.Sprintf("/v1/steps/%s/samples?cursor=%s&max=%d&wait=2s", r.spec.ID, url.QueryEscape(r.cursor), maxSamples)
	var resp ctl.Samples
	err := r.call(instance, trainerKey, http.MethodGet, path, nil, &resp)
	if err != nil || lost {
		return err
	}
	for _, s := range resp.Samples {
		r.receive(s, resp.NewestVersion)
	}
	r.cursor = resp.Next
	r.done = resp.Done
	return nil
}

// receive checks a delivered sample: it was not delivered before, each token has
// a weight version that is not too old, and the tokens are what an engine
// generates.
func (r *rig) receive(s ledger.Sample, newest uint64) {
	if old, ok := r.got[s.Slot]; ok {
		r.Fatalf("%v was delivered twice: attempts %d and %d", s.Slot, old.Attempt, s.Attempt)
	}
	r.got[s.Slot] = s
	if newest < r.published {
		r.Fatalf("staleness measured against version %d after %d was published", newest, r.published)
	}
	if !s.Attributed() || s.Oldest()+r.spec.MaxStaleness < r.published {
		r.Fatalf("too old or unattributed at version %d: %v has spans %v", r.published, s.Slot, s.Spans)
	}
	if !r.isGenerated(s) {
		r.Fatalf("%v does not have the tokens that an engine generates from its prompt and seed", s.Slot)
	}
}

// isGenerated reports whether the tokens are those that a fake engine
// generates, which depend on the prompt, the seed of the slot and the position.
func (r *rig) isGenerated(s ledger.Sample) bool {
	seed := r.spec.SlotSeed(s.Slot)
	return slices.Equal(s.Tokens, fakeengine.Tokens(r.spec.Prompts[s.Group], seed, len(s.Tokens)))
}

// finish pulls through an instance until the step is done, and checks that all
// samples were delivered.
func (r *rig) finish(instance int) {
	r.Helper()
	r.until("finish", func() error {
		if err := r.pull(instance, 64, false); err != nil {
			return err
		}
		if !r.done {
			return fmt.Errorf("%d samples so far", len(r.got))
		}
		return nil
	})
	if want := len(r.spec.Prompts) * r.spec.Samples; len(r.got) != want {
		r.Fatalf("step done: the trainer got %d samples, want %d", len(r.got), want)
	}
}

func prompts(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("clip %d", i)
	}
	return list
}

// wantCode returns nil if err is a response with the code n.
func wantCode(err error, n code.Number) error {
	if re, ok := err.(*api.RemoteError); ok && re.Body.Code == int(n) {
		return nil
	}
	return fmt.Errorf("got %v, want code %d", err, n)
}
