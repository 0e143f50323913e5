package rollout_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	ctl "github.com/cumincove/cumincove/controller/rollout"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
	"github.com/cumincove/cumincove/window"
)

// scorer is a fake scoring service. Unless it is faultless, it cuts the
// connection of every eighth call, beginning with the fourth, before it sends
// the response. If it is idempotent, it also responds to every eighth call with
// an error.
type scorer struct {
	idempotent bool
	faultless  bool
	delay      time.Duration
	mu         sync.Mutex
	calls      int
	inProgress int
	runs       map[string]int
}

// startCall counts a call and returns its number.
func (sc *scorer) startCall(key string) int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.calls++
	sc.inProgress++
	sc.runs[key]++
	return sc.calls
}

func (sc *scorer) endCall() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.inProgress--
}

// wantScore is the score that the scorer assigns to a sample.
func wantScore(s ledger.Sample) float64 { return float64(s.Tokens[0])*100 + float64(s.Index) }

func (sc *scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var g ctl.Group
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil || r.URL.Path != "/score" {
		http.Error(w, "bad group", http.StatusBadRequest)
		return
	}
	key := ""
	var answer ctl.Scores
	for _, s := range g.Samples {
		key += fmt.Sprintf("%v/%d ", s.Slot, s.Attempt)
		v := wantScore(s)
		answer.Scores = append(answer.Scores, ctl.SampleScore{Slot: s.Slot, Attempt: s.Attempt, Score: &v})
	}
	call := sc.startCall(key)
	defer sc.endCall()
	time.Sleep(sc.delay)
	switch {
	case call%8 == 4 && !sc.faultless:
		panic(http.ErrAbortHandler) // the call ran, and its response is lost
	case call%8 == 0 && sc.idempotent && !sc.faultless:
		http.Error(w, "busy", http.StatusServiceUnavailable)
	default:
		_ = json.NewEncoder(w).Encode(answer) // the caller notices a write error
	}
}

// startScorer adds a scoring service to the system.
func startScorer(r *rig, idempotent bool) *scorer {
	sc := &scorer{idempotent: idempotent, delay: 50 * time.Millisecond, runs: map[string]int{}}
	srv := httptest.NewServer(sc)
	r.Cleanup(srv.Close)
	r.apply(config.Objects{
		Services: []config.Service{{
			Meta: config.Meta{Name: "judge"}, Type: config.ServicePlain, Endpoints: label.MustParse("app=judge"),
			Teams: []string{"celeste"}, Idempotent: idempotent,
		}},
		Endpoints: []config.Endpoint{{
			Meta:       config.Meta{Name: "judge-1", Labels: map[string]string{"app": "judge"}},
			DataCentre: "dc-a", Addr: strings.TrimPrefix(srv.URL, "http://"),
		}},
	})
	return sc
}

// TestGroupsAreScored: groups are scored over TCP while responses of the
// scoring service are lost and the step's owner is cut off. A service that is
// not idempotent is called at most once for a group. An idempotent one is
// called until the group has its scores.
func TestGroupsAreScored(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent=%t", idempotent), func(t *testing.T) {
			r := newRig(t, engineOptions())
			sc := startScorer(r, idempotent)
			r.publish(0, 1)
			scored := spec(32)
			scored.Scoring = &rollout.Scoring{Service: "judge", Path: "/score"}
			r.open(0, scored)
			r.until("some samples", func() error {
				if err := r.pull(0, 16, false); err != nil || len(r.got) < 16 {
					return fmt.Errorf("%d samples, %v", len(r.got), err)
				}
				return nil
			})
			r.sys.Platform.RemoveInstance(r.sys.Instances[0].Settings.Name)
			r.sys.Instances[0].CutConnections()
			r.finish(1)
			var p ctl.StepProgress
			if err := r.call(1, trainerKey, http.MethodGet, "/v1/steps/step-1", nil, &p); err != nil {
				t.Fatal(err)
			}
			unscored := checkScores(r, sc)
			t.Logf("%d calls for %d groups, %d of them unscored", sc.calls, len(scored.Prompts), unscored)
			if p.Scored+p.Unscored != p.Groups || p.Unscored != unscored || idempotent && unscored > 0 {
				t.Errorf("progress %+v, %d groups unscored at the trainer", p.Progress.Progress, unscored)
			}
		})
	}
}

// checkScores checks that each sample has its own score or, if the service is
// not idempotent, the code for a lost call. It also checks that such a service
// was called at most once for a group. It returns the number of groups without
// scores.
func checkScores(r *rig, sc *scorer) (unscored int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for slot, s := range r.got {
		switch {
		case s.Score != nil && *s.Score == wantScore(s):
		case s.Score == nil && s.ScoreCode == code.ScoreUnknown && !sc.idempotent:
			if slot.Index == 0 {
				unscored++
			}
		default:
			r.Errorf("%v: score %v, code %d", slot, s.Score, s.ScoreCode)
		}
	}
	for key, n := range sc.runs {
		if n > 1 && !sc.idempotent {
			r.Errorf("group scored %d times: %s", n, key)
		}
	}
	return unscored
}

// TestScoresOutliveAShutdown: the owner shuts down in the middle of a step. It
// waits for the responses to its scoring calls, and the next owner has the
// other groups scored.
func TestScoresOutliveAShutdown(t *testing.T) {
	r := newRig(t, engineOptions())
	sc := startScorer(r, false)
	sc.faultless, sc.delay = true, 500*time.Millisecond
	r.publish(0, 1)
	scored := spec(96)
	scored.Scoring = &rollout.Scoring{Service: "judge", Path: "/score"}
	r.open(0, scored)
	r.until("calls", func() error {
		sc.mu.Lock()
		defer sc.mu.Unlock()
		if sc.inProgress < 4 {
			return fmt.Errorf("%d calls in progress", sc.inProgress)
		}
		return nil
	})
	if err := r.sys.Instances[0].Stop(); err != nil {
		t.Fatal(err)
	}
	if n := requests(r, "celeste"); n == 0 {
		t.Error("the scoring calls are missing in the team's usage")
	}
	r.finish(1)
	if n := checkScores(r, sc); n > 0 {
		t.Errorf("%d groups without scores after %d calls, want 0", n, sc.calls)
	}
}

// requests returns the number of a team's requests in the usage rows of the
// store. Requests to the routes of steps are not counted there.
func requests(r *rig, team string) (sum uint64) {
	rows, err := r.sys.Platform.Platform().Table.List(r.ctx, "usage/part/", "", 500)
	if err != nil {
		r.Fatal(err)
	}
	for _, row := range rows {
		var totals window.Totals
		if err := json.Unmarshal(row.Value, &totals); err != nil {
			r.Fatal(err)
		}
		sum += totals[team].Requests
	}
	return sum
}

// TestStepWithAKeyIsRefused: a step whose prompts or scoring path contain a key
// is refused, because both are sent to endpoints, which must not receive keys.
func TestStepWithAKeyIsRefused(t *testing.T) {
	r := newRig(t, engineOptions())
	r.publish(0, 1)
	asPrompt, asPath := spec(1), spec(1)
	asPrompt.Prompts[0] = "my key is " + trainerKey
	asPath.Scoring = &rollout.Scoring{Service: "judge", Path: "/" + trainerKey}
	for name, s := range map[string]rollout.Spec{"prompt": asPrompt, "path": asPath} {
		r.until("refusal because of a key in the "+name, func() error {
			return wantCode(r.call(0, trainerKey, http.MethodPost, "/v1/steps", s, &ctl.OpenResponse{}), code.BadRequest)
		})
	}
}

// TestScorerMustBeAllowed: a step that names a scoring service which its team
// may not call, or which is not a plain service, is refused.
func TestScorerMustBeAllowed(t *testing.T) {
	r := newRig(t, engineOptions())
	startScorer(r, false)
	for name, want := range map[string]code.Number{"judge": code.TeamNotAllowed, service: code.NoSuchRoute, "none": code.NoSuchRoute} {
		s := spec(1)
		s.Scoring = &rollout.Scoring{Service: name}
		r.until("refusal because of scoring service "+name, func() error {
			return wantCode(r.call(0, "other-key", http.MethodPost, "/v1/steps", s, &ctl.OpenResponse{}), want)
		})
	}
}
