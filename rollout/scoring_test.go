package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/outcome"
	"pgregory.net/rapid"
)

// scorer is the model's scoring service.
type scorer struct {
	idempotent bool
	inFlight   []*scoreCallInFlight
	// runs counts how often a group's samples were scored.
	runs   map[string]int
	scored int
}

// scoreCallInFlight is a call that has not ended. It may still run after it was
// cancelled.
type scoreCallInFlight struct {
	score     Score
	owner     *owner
	cancelled bool
}

func (m *stepModel) drawScorer() {
	m.scorer = scorer{runs: map[string]int{}, idempotent: m.flip("idempotent")}
	if m.flip("scored") {
		m.spec.Scoring = &Scoring{Service: "judge", TimeoutMillis: 5000}
	}
}

func (s *scorer) cancel(id CallID) {
	for _, f := range s.inFlight {
		f.cancelled = f.cancelled || f.score.Call == id
	}
}

func (m *stepModel) takeCall(i int) *scoreCallInFlight {
	f := m.scorer.inFlight[i]
	m.scorer.inFlight = append(m.scorer.inFlight[:i:i], m.scorer.inFlight[i+1:]...)
	return f
}

// run executes a call and returns its scores. It fails the test if a service
// that is not idempotent scores the same samples twice.
func (m *stepModel) run(f *scoreCallInFlight) []float64 {
	key := ""
	var scores []float64
	for _, s := range f.score.Samples {
		key += fmt.Sprintf("%v/%d ", s.Slot, s.Attempt)
		scores = append(scores, score(s))
	}
	m.scorer.runs[key]++
	if n := m.scorer.runs[key]; n > 1 && !m.scorer.idempotent {
		m.t.Fatalf("samples scored %d times: %s", n, key)
	}
	return scores
}

func score(s ledger.Sample) float64 {
	return float64(s.Attempt)*100 + float64(s.Group)*10 + float64(s.Index)
}

// endOneCall ends a random call with a random result. Calls of former owners and
// cancelled calls may be executed, too.
func (m *stepModel) endOneCall() {
	if len(m.scorer.inFlight) == 0 {
		return
	}
	f := m.takeCall(rapid.IntRange(0, len(m.scorer.inFlight)-1).Draw(m.t, "call"))
	ways := []string{"answered", "lost", "cut", "refused", "bad", "poison"}
	r := ScoreResult{Code: code.EndpointLost, Outcome: outcome.MaybeRun}
	switch rapid.SampledFrom(ways).Draw(m.t, "way") {
	case "answered":
		r = ScoreResult{Scores: m.run(f), Outcome: outcome.Ran}
	case "lost":
		m.run(f)
	case "refused":
		r.Outcome = outcome.NotRun
	case "bad":
		m.run(f)
		r = ScoreResult{Code: code.ScoreInvalid, Outcome: outcome.Ran}
	case "poison":
		r = ScoreResult{Code: code.Poison, Outcome: outcome.NotRun, Permanent: true}
	}
	if !f.cancelled {
		f.owner.step.Scored(m.now, f.score.Call, r)
	}
}

// completeAll executes the calls of an owner and reports their scores.
func (m *stepModel) completeAll(o *owner) {
	for i := len(m.scorer.inFlight) - 1; i >= 0; i-- {
		if f := m.scorer.inFlight[i]; f.owner == o {
			m.takeCall(i)
			o.step.Scored(m.now, f.score.Call, ScoreResult{Scores: m.run(f), Outcome: outcome.Ran})
		}
	}
}

// checkScore checks that a sample has its own score, or a code that states why
// there is none.
func (m *stepModel) checkScore(s ledger.Sample) {
	switch {
	case m.spec.Scoring == nil && s.Score == nil && s.ScoreCode == code.OK:
	case m.spec.Scoring != nil && s.Score == nil && s.ScoreCode != code.OK:
	case m.spec.Scoring != nil && s.Score != nil && *s.Score == score(s) && s.ScoreCode == code.OK:
		m.scorer.scored++
	default:
		m.t.Fatalf("scoring %+v: wrong score or code: %+v", m.spec.Scoring, s)
	}
}

// TestUnresponsiveScorerTimesOut verifies that a scoring service that never
// responds, and a store that stores no marks, delay a group by no more than the
// timeout, and that no call is made without a stored mark.
func TestUnresponsiveScorerTimesOut(t *testing.T) {
	for storeUp, want := range map[bool]code.Number{true: code.ScoreUnknown, false: code.ScoreTimeout} {
		m := &stepModel{newest: 1, spec: Spec{
			ID: "s", Service: "m", Prompts: []string{"p"}, Samples: 1, MaxTokens: 1, Scoring: &Scoring{Service: "judge"},
		}}
		m.takeover()
		s := m.currentOwner().step
		s.Advance(1)
		if err := s.slots.Fill(0, ledger.Sample{
			Attempt: 1<<32 + 1, Tokens: []int32{1}, Spans: []ledger.Span{{To: 1, Version: 1}},
		}); err != nil {
			t.Fatal(err)
		}
		calls, writes := 0, 0
		for m.now = 0; m.now < DefaultScoringTimeout+10*time.Second; m.now += 100 * time.Millisecond {
			for _, a := range s.Tick(m.now, nil, 0) {
				switch a := a.(type) {
				case Score:
					calls++
				case Write:
					writes++
					if storeUp {
						s.BatchStored(m.now, a.Batch.Seq)
					} else {
						s.BatchFailed(m.now, a.Batch.Seq)
					}
				}
			}
		}
		d, err := s.Pull(m.now, ledger.Cursor{}, 9)
		if err != nil || len(d.Samples) != 1 || d.Samples[0].ScoreCode != want || d.Durable != storeUp {
			t.Errorf("store up %t: delivery %+v, error %v, want one sample without a score", storeUp, d, err)
		}
		if (calls == 1) != storeUp {
			t.Errorf("store up %t: %d calls, %d writes, want one call if the store is up, else none", storeUp, calls, writes)
		}
	}
}
