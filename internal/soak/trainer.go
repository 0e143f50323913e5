package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/controller/rollout"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/ledger"
	step "github.com/cumincove/cumincove/rollout"
)

const (
	// maxStaleness is the largest staleness bound of a step, in versions.
	maxStaleness = 2
	// publishPeriod is the time between two weight versions.
	publishPeriod = 6 * time.Second
	// trainerPause is the longest pause of a trainer before a pull.
	trainerPause = 20 * time.Second
	// stepPatience is how long a trainer pulls a step before it gives up.
	stepPatience = 90 * time.Second
	pullWait     = "2s"
	// pullPause is the time a trainer takes to take samples in.
	pullPause = 10 * time.Millisecond
)

// published is the newest weight version that the trainers know of.
type published struct {
	version atomic.Uint64
}

// publisher publishes a new weight version now and then.
func (w *world) publisher(ctx context.Context, p *published) {
	rnd := w.random("publisher")
	client := w.client()
	p.version.Store(1)
	for ctx.Err() == nil {
		pause(ctx, publishPeriod)
		next := p.version.Load() + 1
		in := w.pickInstance(rnd)
		if in == nil {
			continue
		}
		// A version whose publishing failed may be out all the same; the next
		// try repeats it.
		body := fmt.Appendf(nil, `{"version": %d}`, next)
		err := w.trainerCall(ctx, client, in, http.MethodPost, "/v1/services/"+taggerService+"/weights", body, nil)
		if err == nil {
			p.version.Store(next)
		}
	}
}

// trainer opens one step after another and pulls its samples, each call at
// another instance.
func (w *world) trainer(ctx context.Context, id int, p *published) {
	rnd := w.random(fmt.Sprintf("trainer-%d", id))
	client := w.client()
	for n := 0; ctx.Err() == nil; n++ {
		spec := step.Spec{
			ID: fmt.Sprintf("trainer-%d-step-%d", id, n), Service: taggerService,
			Samples: 2 + rnd.IntN(3), MaxTokens: 20 + rnd.IntN(200), Seed: rnd.Uint64(),
			MaxStaleness: uint64(rnd.IntN(maxStaleness + 1)),
		}
		for g := range 2 + rnd.IntN(4) {
			spec.Prompts = append(spec.Prompts, fmt.Sprintf("%s-prompt-%d", spec.ID, g))
		}
		w.runStep(ctx, client, rnd, spec, p)
	}
}

func (w *world) runStep(ctx context.Context, client *http.Client, rnd *rand.Rand, spec step.Spec, p *published) {
	ctx, cancel := context.WithTimeout(ctx, stepPatience)
	defer cancel()
	cursor, ok := w.openStep(ctx, client, rnd, spec)
	seen := map[ledger.Slot]bool{}
	for ok && ctx.Err() == nil {
		in := w.pickInstance(rnd)
		if in == nil {
			pause(ctx, time.Second)
			continue
		}
		if rnd.IntN(4) == 0 {
			pause(ctx, time.Duration(rnd.Int64N(int64(trainerPause))))
		}
		newest := p.version.Load()
		q := url.Values{"cursor": {cursor}, "wait": {pullWait}, "version": {strconv.FormatUint(newest, 10)}}
		var got rollout.Samples
		err := w.trainerCall(ctx, client, in, http.MethodGet, "/v1/steps/"+spec.ID+"/samples?"+q.Encode(), nil, &got)
		if err != nil {
			pause(ctx, 500*time.Millisecond)
			continue
		}
		if rnd.IntN(10) == 0 {
			continue // the answer is lost: the same cursor is shown again
		}
		for _, s := range got.Samples {
			w.checkSample(spec, s, seen, newest)
		}
		if got.Done {
			w.checkStepWhole(spec, seen, got.Failed)
			return
		}
		cursor = got.Next
		pause(ctx, pullPause)
	}
}

func (w *world) openStep(ctx context.Context, client *http.Client, rnd *rand.Rand, spec step.Spec) (cursor string, ok bool) {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	for ctx.Err() == nil {
		if in := w.pickInstance(rnd); in != nil {
			var answer rollout.OpenAnswer
			if err := w.trainerCall(ctx, client, in, http.MethodPost, "/v1/steps", body, &answer); err == nil {
				return answer.Cursor, true
			}
		}
		pause(ctx, time.Second)
	}
	return "", false
}

// checkSample checks one delivered sample against what the engines' stand-ins
// put into its tokens.
func (w *world) checkSample(spec step.Spec, s ledger.Sample, seen map[ledger.Slot]bool, newest uint64) {
	w.oracle.check(SampleOnce, !seen[s.Slot], "%s: slot %+v delivered twice", spec.ID, s.Slot)
	seen[s.Slot] = true
	w.oracle.check(SampleVersions, s.Attributed(), "%s: slot %+v has tokens without a version: %+v", spec.ID, s.Slot, s.Spans)
	for _, span := range s.Spans {
		for i := span.From; i < span.To; i++ {
			token, version := fakeengine.SplitToken(s.Tokens[i])
			want := fakeengine.Token(spec.Prompts[s.Group], spec.SlotSeed(s.Slot), i)
			w.oracle.check(SampleVersions, token == want && version == span.Version,
				"%s: slot %+v token %d by version %d, named %d", spec.ID, s.Slot, i, version, span.Version)
		}
	}
	w.oracle.check(SampleStaleness, s.Oldest()+spec.MaxStaleness >= newest,
		"%s: slot %+v of version %d delivered when %d was published", spec.ID, s.Slot, s.Oldest(), newest)
}

// checkStepWhole checks that a step that is done has each slot, but for the
// groups that were said to have failed.
func (w *world) checkStepWhole(spec step.Spec, seen map[ledger.Slot]bool, failed []int) {
	want := (len(spec.Prompts) - len(failed)) * spec.Samples
	w.oracle.check(SampleOnce, len(seen) >= want, "%s: done with %d of %d samples", spec.ID, len(seen), want)
}

// trainerCall makes one call under a trainer's key.
func (w *world) trainerCall(ctx context.Context, client *http.Client, in *instance, method, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.set.Listen.Callers+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+teamSecret(1))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		w.log.Debug("trainer's call failed", "path", path, "status", resp.Status)
		return fmt.Errorf("status %s", resp.Status)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}
