package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/outcome"
	"github.com/cumincove/cumincove/rollout"
)

// ServiceCall is a POST request with a JSON body to a service, on behalf of a
// team.
type ServiceCall struct {
	ID        string
	Team      string
	KeyDigest string
	Service   string
	// Path is the path of the request at the service.
	Path string
	Body []byte
	// Deadline is the boot time by which the call must end.
	Deadline time.Duration
}

// scorer returns the current configuration of the step's scoring service.
func (w *worker) scorer() config.Service {
	if w.spec.Scoring == nil {
		return config.Service{}
	}
	return w.c.o.Views.Load().Config.Services[w.spec.Scoring.Service]
}

// startScore starts a call to the scoring service. The caller must hold mu.
func (w *worker) startScore(a rollout.Score) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.scoring[a.Call] = cancel
	w.c.wg.Go(func() {
		defer cancel()
		r := w.scoreGroup(ctx, a)
		w.mu.Lock()
		delete(w.scoring, a.Call)
		w.step.Scored(w.c.o.Clock.Now(), a.Call, r)
		w.mu.Unlock()
		w.signal()
	})
}

// scoreGroup makes one call to the scoring service.
func (w *worker) scoreGroup(ctx context.Context, a rollout.Score) rollout.ScoreResult {
	w.c.o.Scope.Counter("rollout_score_calls").Inc(1)
	r, err := w.callScorer(ctx, a)
	if err != nil && ctx.Err() == nil {
		w.c.o.Scope.Counter("rollout_score_failures").Inc(1)
		w.c.o.Log.Warn("group not scored", "step", w.key.id, "group", a.Group, "outcome", r.Outcome, "error", err)
	}
	return r
}

// callScorer calls the scoring service. The error is the reason why there are no
// scores; the result is valid in both cases.
func (w *worker) callScorer(ctx context.Context, a rollout.Score) (rollout.ScoreResult, error) {
	body, err := json.Marshal(Group{
		Step: w.key.id, Group: a.Group, Prompt: w.spec.Prompts[a.Group], Samples: a.Samples,
	})
	if err != nil {
		return rollout.ScoreResult{Code: code.Internal, Permanent: true}, err
	}
	status, answer, err := w.c.o.Call(ctx, ServiceCall{
		ID:        w.requestID(rollout.RunID(a.Call)),
		Team:      w.key.team,
		KeyDigest: w.keyDigest,
		Service:   w.spec.Scoring.Service,
		Path:      w.spec.Scoring.Path,
		Body:      body,
		Deadline:  a.Deadline,
	})
	if err != nil {
		return failedScore(err), err
	}
	if status >= http.StatusInternalServerError && w.scorer().Idempotent {
		err = code.New(code.ScoreInvalid, "status %d", status)
		return rollout.ScoreResult{Code: code.ScoreInvalid, Outcome: outcome.MaybeRun}, err
	}
	scores, err := readScores(status, answer, a.Samples)
	if err != nil {
		return rollout.ScoreResult{Code: code.ScoreInvalid, Outcome: outcome.Ran}, err
	}
	return rollout.ScoreResult{Scores: scores, Outcome: outcome.Ran}, nil
}

// failedScore converts the error of a failed call to a result.
func failedScore(err error) rollout.ScoreResult {
	var ce *code.Error
	if !errors.As(err, &ce) {
		return rollout.ScoreResult{Code: code.Internal, Outcome: outcome.MaybeRun}
	}
	r := rollout.ScoreResult{Code: ce.Number, Outcome: outcome.MaybeRun}
	switch ce.Info().Effect {
	case code.NotRun:
		r.Outcome = outcome.NotRun
	case code.Ran:
		r.Outcome = outcome.Ran
	}
	switch ce.Number {
	case code.TeamNotAllowed, code.KeyWithdrawn, code.Poison:
		r.Permanent = true
	}
	return r
}

// readScores decodes an answer. The answer must contain exactly one score for
// each sample, so that no score is assigned to the wrong sample.
func readScores(status int, answer []byte, samples []ledger.Sample) ([]float64, error) {
	if status != http.StatusOK {
		return nil, code.New(code.ScoreInvalid, "status %d", status)
	}
	var decoded Scores
	if err := json.Unmarshal(answer, &decoded); err != nil {
		return nil, code.Wrap(code.ScoreInvalid, err, "%v", err)
	}
	if len(decoded.Scores) != len(samples) {
		return nil, code.New(code.ScoreInvalid, "%d scores for %d samples", len(decoded.Scores), len(samples))
	}
	scores := make([]float64, len(samples))
	seen := make([]bool, len(samples))
	for _, s := range decoded.Scores {
		i := s.Index
		if i < 0 || i >= len(samples) || seen[i] || s.Slot != samples[i].Slot || s.Attempt != samples[i].Attempt {
			return nil, code.New(code.ScoreInvalid, "a score of %v, attempt %d", s.Slot, s.Attempt)
		}
		if s.Score == nil {
			return nil, code.New(code.ScoreInvalid, "no score of %v", s.Slot)
		}
		scores[i], seen[i] = *s.Score, true
	}
	return scores, nil
}
