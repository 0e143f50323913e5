package rollout_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	ctl "github.com/cumincove/cumincove/controller/rollout"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/systemtest"
	"github.com/cumincove/cumincove/rollout"
)

// engineOptions returns the options of the fake engines of most tests.
func engineOptions() fakeengine.Options {
	return fakeengine.Options{
		TokenDelay: 2 * time.Millisecond, ChunkTokens: 4, MaxRunning: 16, MaxTokens: 40, Version: 1, ChecksEpoch: true,
	}
}

// spec returns a step with groups of four samples.
func spec(groups int) rollout.Spec {
	return rollout.Spec{
		ID: "step-1", Service: service, Prompts: prompts(groups), Samples: 4, MaxTokens: 40, MaxStaleness: 1,
	}
}

// TestOwnerLostMidStep: the owner is cut off in the middle of a step, and the
// trainer continues at another instance.
func TestOwnerLostMidStep(t *testing.T) {
	r := newRig(t, engineOptions())
	r.publish(0, 1)
	r.open(0, spec(24))
	r.until("some samples", func() error {
		if err := r.pull(0, 16, false); err != nil {
			return err
		}
		if len(r.got) < 16 {
			return fmt.Errorf("%d samples so far", len(r.got))
		}
		return nil
	})
	if err := r.pull(0, 16, true); err != nil {
		t.Fatal(err)
	}
	r.sys.Platform.RemoveInstance(r.sys.Instances[0].Settings.Name)
	r.sys.Instances[0].CutConnections()
	r.finish(1)
}

// TestOwnerCutOffButListed: an owner that stops responding is replaced even if
// it stays in the member list. A third instance forwards calls to the new
// owner.
func TestOwnerCutOffButListed(t *testing.T) {
	r := newRig(t, engineOptions())
	r.publish(0, 1)
	r.open(0, spec(12))
	r.until("through another instance", func() error { return r.pull(2, 8, false) })
	r.sys.Instances[0].CutConnections()
	r.until("after the cut", func() error { return r.pull(1, 8, false) })
	r.finish(2)
}

// TestEngineFaultsMidStep: one engine crashes in the middle of a step; another
// one truncates streams and then omits the weight version from them.
func TestEngineFaultsMidStep(t *testing.T) {
	r := newRig(t, engineOptions())
	r.publish(0, 1)
	r.open(0, spec(24))
	r.engines[0].SetFaults(fakeendpoint.Faults{TruncateAfter: 6})
	r.engines[1].Crash()
	time.AfterFunc(300*time.Millisecond, r.engines[1].Restart)
	r.until("first samples", func() error { return r.pull(1, 8, false) })
	r.engines[0].SetFaults(fakeendpoint.Faults{HideVersion: true})
	r.until("second samples", func() error { return r.pull(2, 8, false) })
	r.engines[0].SetFaults(fakeendpoint.Faults{})
	r.finish(0)
}

// TestStoreOutageMidStep: the store is down for a second in the middle of a
// step, and then loses three responses. Generation continues, and the step is
// delivered once the store is back.
func TestStoreOutageMidStep(t *testing.T) {
	r := newRig(t, engineOptions())
	r.publish(0, 1)
	r.open(0, spec(24))
	r.until("first samples", func() error { return r.pull(0, 4, false) })
	r.sys.Platform.SetFaults(fakeplatform.Faults{Down: true})
	time.Sleep(time.Second)
	r.sys.Platform.SetFaults(fakeplatform.Faults{LoseResponses: 3})
	r.finish(0)
}

// TestWeightsChangeMidStep: new weights are published twice in the middle of a
// step. The staleness bound is one version, so samples of the first version
// must not be delivered after the second swap.
func TestWeightsChangeMidStep(t *testing.T) {
	opt := engineOptions()
	opt.LoadTime = 200 * time.Millisecond
	r := newRig(t, opt)
	r.publish(0, 1)
	r.open(0, spec(24))
	r.until("first samples", func() error { return r.pull(0, 4, false) })
	for v := uint64(2); v <= 3; v++ {
		r.publish(1, v)
		for _, e := range r.engines {
			r.until("swap", func() error {
				if e.Engine.Version() != v {
					return fmt.Errorf("an engine has version %d, want %d", e.Engine.Version(), v)
				}
				return nil
			})
		}
		r.until("more samples", func() error { return r.pull(2, 4, false) })
	}
	r.finish(1)
}

// TestOpenAndPullErrors checks the codes of refused requests, and that a step
// can be opened again with the same spec.
func TestOpenAndPullErrors(t *testing.T) {
	r := newRig(t, engineOptions())
	r.publish(0, 2)
	r.open(0, spec(1))
	other := spec(2)
	var open ctl.OpenResponse
	var samples ctl.Samples
	cases := []struct {
		want              code.Number
		key, method, path string
		in                any
	}{
		{code.StepExists, trainerKey, http.MethodPost, "/v1/steps", other},
		{code.BadRequest, trainerKey, http.MethodPost, "/v1/steps", rollout.Spec{ID: "x"}},
		{code.StepUnknown, "other-key", http.MethodGet, "/v1/steps/step-1/samples", nil},
		{code.StepUnknown, trainerKey, http.MethodGet, "/v1/steps/none", nil},
		{code.CursorAhead, trainerKey, http.MethodGet, "/v1/steps/step-1/samples?cursor=!", nil},
		{code.CursorAhead, trainerKey, http.MethodGet, "/v1/steps/step-1/samples?cursor=gA", nil},
		{code.KeyUnknown, "no-key", http.MethodGet, "/v1/steps/step-1", nil},
		{code.VersionConflict, trainerKey, http.MethodPost, "/v1/services/tagger/weights", map[string]int{"version": 1}},
	}
	for _, s := range cases {
		var out any = &samples
		if s.method == http.MethodPost {
			out = &open
		}
		if err := wantCode(r.call(0, s.key, s.method, s.path, s.in, out), s.want); err != nil {
			t.Errorf("%s %s: %v", s.method, s.path, err)
		}
	}
	if err := r.call(1, trainerKey, http.MethodPost, "/v1/steps", spec(1), &open); err != nil || !open.Existed {
		t.Errorf("second open of the same step: got %+v, error %v, want Existed", open, err)
	}
	var list ctl.StepList
	if err := r.call(2, trainerKey, http.MethodGet, "/v1/steps", nil, &list); err != nil || len(list.Steps) != 1 {
		t.Errorf("list of steps: got %+v, error %v, want one step", list, err)
	}
}

// TestCallersDuringALargeStep: callers' requests run while a large step uses
// the engines.
func TestCallersDuringALargeStep(t *testing.T) {
	opt := engineOptions()
	opt.MaxRunning, opt.MaxTokens, opt.TokenDelay = 64, 0, 20*time.Millisecond
	r := newRig(t, opt)
	r.publish(0, 1)
	large := spec(200)
	large.MaxTokens = 400
	r.open(0, large)
	r.until("engines filled", func() error {
		var p ctl.StepProgress
		if err := r.call(0, trainerKey, http.MethodGet, "/v1/steps/step-1", nil, &p); err != nil || p.Running < 100 {
			return fmt.Errorf("%d running, %v", p.Running, err)
		}
		return nil
	})
	for range 10 {
		body := map[string]any{"prompt": "a clip", "max_tokens": 2, "seed": 1}
		var first engine.Chunk
		if err := r.call(0, "other-key", http.MethodPost, "/v1/services/tagger/v1/generate", body, &first); err != nil {
			t.Fatalf("caller's request during a large step: %v", err)
		}
	}
}

// TestEngineLeavesMidStep: an engine leaves in the middle of long samples. Its
// streams end, and the samples are completed at other engines.
func TestEngineLeavesMidStep(t *testing.T) {
	opt := engineOptions()
	opt.MaxTokens, opt.TokenDelay = 0, 10*time.Millisecond
	r := newRig(t, opt)
	r.publish(0, 1)
	long := spec(9)
	long.MaxTokens = 300
	r.open(0, long)
	addr := r.objects[0].Addr
	client := &engine.Client{HTTP: r.http, CallTimeout: time.Second}
	running := func() int {
		l, err := client.Load(r.ctx, addr)
		if err != nil {
			t.Fatal(err)
		}
		return l.Running
	}
	r.until("streams at the engine", func() error {
		if running() == 0 {
			return fmt.Errorf("none")
		}
		return nil
	})
	time.Sleep(500 * time.Millisecond) // allows the engine to generate some tokens
	leaving := r.objects[0]
	leaving.Leaving = true
	r.apply(config.Objects{Endpoints: []config.Endpoint{leaving}})
	start := time.Now()
	r.until("end of the streams", func() error {
		if n := running(); n > 0 {
			return fmt.Errorf("%d running", n)
		}
		return nil
	})
	t.Logf("streams ended after %v", time.Since(start))
	r.finish(1)
}

// TestStalledStreamsAreMoved: the streams of one engine stall in the middle of
// their samples. They are moved, with the tokens so far, long before the engine
// counts as unresponsive.
func TestStalledStreamsAreMoved(t *testing.T) {
	opt := engineOptions()
	opt.TokenDelay = 20 * time.Millisecond
	r := newRig(t, opt)
	r.publish(0, 1)
	r.engines[0].SetFaults(fakeendpoint.Faults{StallAfter: 4})
	r.open(0, spec(12))
	var p ctl.StepProgress
	r.until("moves", func() error {
		if err := r.call(0, trainerKey, http.MethodGet, "/v1/steps/step-1", nil, &p); err != nil || p.Moved == 0 {
			return fmt.Errorf("%d moved, %v", p.Moved, err)
		}
		return nil
	})
	r.finish(0)
}

// TestOwnerShutsDownMidStep: the owner shuts down in the middle of a step.
// Another instance continues the step at once, before the trainer pulls, and no
// complete group is lost.
func TestOwnerShutsDownMidStep(t *testing.T) {
	opt := engineOptions()
	opt.MaxTokens, opt.TokenDelay = 0, 20*time.Millisecond
	r := newRig(t, opt)
	r.publish(0, 1)
	r.open(0, spec(48))
	r.until("some samples", func() error { return r.pull(0, 8, false) })
	if err := r.sys.Instances[0].Stop(); err != nil {
		t.Fatal(err)
	}
	var owners []string
	for _, in := range r.sys.Instances[1:] {
		op := systemtest.OperatorClient(in, r.http)
		steps, err := op.Steps(r.ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range steps.Steps {
			owners = append(owners, s.Owner)
			t.Logf("%s owns the step, %d of %d samples complete", s.Owner, s.Completed, s.Samples)
		}
	}
	if len(owners) != 1 {
		t.Errorf("owners after the shutdown: got %v, want one", owners)
	}
	r.finish(2)
}
