package rollout

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/outcome"
	"github.com/cumincove/cumincove/retry"
)

// maxScoreCalls bounds the calls for one group, including those that did not
// reach the service.
const maxScoreCalls = 100

// scoring is the state of a step's calls to its scoring service.
type scoring struct {
	idempotent bool
	// closed is set once the scoring of further groups must not start.
	closed bool
	// inProgress counts the groups that are being scored.
	inProgress int
	budget     retry.Budget
	// groups has an entry for each complete group whose scoring has not ended.
	groups map[int]*groupScoring
	// running holds the scorings that have a running call, by call.
	running map[CallID]*groupScoring
	// lastCall is the number of the last call.
	lastCall uint64
	// scoredAt is the time when a group was last scored.
	scoredAt time.Duration
}

// groupScoring is the scoring of one group.
type groupScoring struct {
	group int
	// attempts holds, for each sample that is being scored, the attempt that
	// generated it.
	attempts []uint64
	// since is the time when scoring started (when the group was marked or the
	// first call was made) or, before that, when the group was first observed
	// as complete.
	since      time.Duration
	inProgress bool
	record     outcome.Record
	// id is the ID of the running call; empty if there is none.
	id CallID
	// nextAt is the earliest time of the next call.
	nextAt time.Duration
}

// ScoreResult is the result of a call to the scoring service.
type ScoreResult struct {
	// Scores has the score of each sample, by index, if the call succeeded.
	Scores []float64
	// Code is the error code of a failed call, and Outcome whether the call ran.
	Code    code.Number
	Outcome outcome.Outcome
	// Permanent is set if a further call would fail as well.
	Permanent bool
}

// SetScorerIdempotent sets whether the scoring service is idempotent. It must be
// called before Tick.
func (s *Step) SetScorerIdempotent(idempotent bool) { s.scoring.idempotent = idempotent }

// StopScoring prevents the scoring of further groups from starting. It is
// called by an owner that is leaving.
func (s *Step) StopScoring() { s.scoring.closed = true }

// GroupsInScoring returns the number of groups that are being scored.
func (s *Step) GroupsInScoring() int { return s.scoring.inProgress }

// ScoresPending reports whether complete groups of a scored step can't be
// delivered yet, because their scores are missing or not yet stored.
func (s *Step) ScoresPending() bool {
	p := s.slots.Progress()
	return s.spec.Scoring != nil && p.Complete > p.Stored
}

// Scored reports the result of a call.
func (s *Step) Scored(now time.Duration, id CallID, r ScoreResult) {
	c := s.scoring.running[id]
	if c == nil {
		return
	}
	delete(s.scoring.running, id)
	c.id = ""
	_ = c.record.End(resultOf(r)) // can't fail: a call is running
	if len(r.Scores) == s.spec.Samples {
		s.scoring.scoredAt = now
		s.endScoring(now, c, ledger.Verdict{Scores: r.Scores})
		return
	}
	c.nextAt = now + retry.Delay(c.record.Attempts(), 1)
	if reason := s.checkScoreRetry(c, r); reason != code.OK {
		s.endScoring(now, c, ledger.Verdict{Code: reason})
	}
}

func resultOf(r ScoreResult) outcome.Result {
	switch {
	case len(r.Scores) > 0 || r.Outcome == outcome.Ran:
		return outcome.Answered
	case r.Outcome == outcome.NotRun:
		return outcome.Refused
	}
	return outcome.Failed
}

// checkScoreRetry returns code.OK if another call may be made for the group, and
// otherwise the code with which the group is delivered unscored.
func (s *Step) checkScoreRetry(c *groupScoring, r ScoreResult) code.Number {
	if r.Permanent {
		return r.Code
	}
	err := c.record.CheckAttempt(s.scorePolicy(), c.nextAt, s.scoreDeadline(c))
	switch {
	case errors.Is(err, outcome.ErrMayHaveRun):
		return code.ScoreUnknown
	case errors.Is(err, outcome.ErrDeadline):
		return code.ScoreTimeout
	case err != nil:
		return r.Code
	case r.Outcome != outcome.NotRun && !s.scoring.budget.Spend():
		return code.RetryBudget
	}
	return code.OK
}

func (s *Step) scorePolicy() outcome.Policy {
	return outcome.Policy{Idempotent: s.scoring.idempotent, MaxAttempts: maxScoreCalls}
}

// scoreGroups returns the calls to make and to cancel.
func (s *Step) scoreGroups(now time.Duration) []Action {
	actions := s.dropObsoleteScorings()
	for _, g := range s.slots.Unscored() {
		c := s.scoring.groups[g]
		if c == nil {
			c = s.newScoring(now, g)
		}
		actions = append(actions, s.scoreGroup(now, c)...)
	}
	return actions
}

// dropObsoleteScorings removes the scorings of groups that the trainer has
// received or whose samples were dropped.
func (s *Step) dropObsoleteScorings() []Action {
	var actions []Action
	for _, g := range slices.Sorted(maps.Keys(s.scoring.groups)) {
		if c := s.scoring.groups[g]; !s.slots.HasAttempts(g, c.attempts) {
			actions = append(actions, s.dropScoring(c)...)
		}
	}
	return actions
}

func (s *Step) dropScoring(c *groupScoring) []Action {
	s.removeScoring(c)
	if c.id == "" {
		return nil
	}
	delete(s.scoring.running, c.id)
	return []Action{CancelScore{Call: c.id}}
}

func (s *Step) newScoring(now time.Duration, g int) *groupScoring {
	samples, _ := s.slots.CompleteGroup(g)
	c := &groupScoring{group: g, since: now}
	for _, sample := range samples {
		c.attempts = append(c.attempts, sample.Attempt)
	}
	s.scoring.groups[g] = c
	s.scoring.budget.RecordRequest()
	if marked, _ := s.slots.ScoringMarked(g); marked && !s.scoring.idempotent {
		// An earlier owner may have called the service.
		s.endScoring(now, c, ledger.Verdict{Code: code.ScoreUnknown})
	}
	return c
}

// scoreDeadline returns the time at which a group is delivered without scores.
// For a group whose scoring has not started, the timeout restarts each time
// another group is scored.
func (s *Step) scoreDeadline(c *groupScoring) time.Duration {
	from := c.since
	if !c.inProgress {
		from = max(from, s.scoring.scoredAt)
	}
	deadline := from + s.spec.Scoring.Timeout()
	if s.opt.Expires != 0 {
		deadline = min(deadline, s.opt.Expires)
	}
	return deadline
}

// scoreGroup returns the actions that are due for a group's scoring. A service
// that is not idempotent is called only after the group's mark is stored, so
// that a new owner does not call it again.
func (s *Step) scoreGroup(now time.Duration, c *groupScoring) []Action {
	marked, stored := s.slots.ScoringMarked(c.group)
	switch {
	case s.scoring.groups[c.group] != c:
		return nil // the scoring has ended
	case now >= s.scoreDeadline(c):
		return s.abandonScoring(now, c)
	case c.id != "" || now < c.nextAt || !s.startScoring(now, c):
		return nil
	case !s.scoring.idempotent && !marked:
		s.slots.MarkScoring(now, c.group)
		return nil
	case !s.scoring.idempotent && !stored:
		return nil
	}
	return s.call(now, c)
}

// startScoring starts the scoring of a group unless it has started already. It
// returns false if the scoring can't start now.
func (s *Step) startScoring(now time.Duration, c *groupScoring) bool {
	if c.inProgress {
		return true
	}
	if s.scoring.closed || s.scoring.inProgress >= s.opt.MaxScoring {
		return false
	}
	c.inProgress, c.since = true, now
	s.scoring.inProgress++
	return true
}

func (s *Step) call(now time.Duration, c *groupScoring) []Action {
	if err := c.record.Begin(s.scorePolicy(), now, s.scoreDeadline(c)); err != nil {
		return s.abandonScoring(now, c)
	}
	_ = c.record.MarkSending() // can't fail: a call has been started
	s.scoring.lastCall++
	c.id = CallID(fmt.Sprintf("%s.%d.score.%d", s.spec.ID, s.opt.Epoch, s.scoring.lastCall))
	s.scoring.running[c.id] = c
	samples, _ := s.slots.CompleteGroup(c.group)
	return []Action{Score{Call: c.id, Group: c.group, Samples: samples, Deadline: s.scoreDeadline(c)}}
}

// abandonScoring ends a group's scoring without scores.
func (s *Step) abandonScoring(now time.Duration, c *groupScoring) []Action {
	reason := code.ScoreTimeout
	if c.record.Outcome() != outcome.NotRun && !s.scoring.idempotent {
		reason = code.ScoreUnknown
	}
	s.endScoring(now, c, ledger.Verdict{Code: reason})
	return s.dropScoring(c)
}

// endScoring ends a group's scoring with a verdict. If the group's samples were
// dropped in the meantime, their replacements are scored from the start.
func (s *Step) endScoring(now time.Duration, c *groupScoring, v ledger.Verdict) {
	v.Group, v.Attempts = c.group, c.attempts
	_ = s.slots.SetVerdict(now, v) // fails only if the samples were dropped
	s.removeScoring(c)
}

// removeScoring removes c unless it was removed before.
func (s *Step) removeScoring(c *groupScoring) {
	if s.scoring.groups[c.group] != c {
		return
	}
	delete(s.scoring.groups, c.group)
	if c.inProgress {
		s.scoring.inProgress--
	}
}
