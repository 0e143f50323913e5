package outcome

import (
	"errors"
	"time"
)

// The errors of a Record.
var (
	// ErrOpen is returned when the last attempt has not ended yet.
	ErrOpen = errors.New("an attempt is under way")
	// ErrNoAttempt is returned when no attempt is in progress.
	ErrNoAttempt = errors.New("no attempt is under way")
	// ErrAnswered is returned when an endpoint has returned a complete answer.
	ErrAnswered = errors.New("the request was answered")
	// ErrMayHaveRun is returned when the request is not idempotent and an
	// endpoint may have executed it.
	ErrMayHaveRun = errors.New("the request may have run and is not idempotent")
	// ErrAttempts is returned when the maximum number of attempts is reached.
	ErrAttempts = errors.New("no attempts left")
	// ErrDeadline is returned when the time left is too short for another
	// attempt.
	ErrDeadline = errors.New("no time left for another attempt")
	// ErrCommitted is returned when part of an answer was sent to the caller.
	ErrCommitted = errors.New("part of an answer was passed on")
)

// Policy limits the attempts of a request.
type Policy struct {
	// Idempotent allows another attempt after one that an endpoint may have
	// executed.
	Idempotent bool
	// Resume allows another attempt after part of an answer was sent to the
	// caller. The attempt continues the answer at another endpoint from the end
	// of that part. Resume has no effect on a request of which no part of an
	// answer was sent.
	Resume bool
	// MaxResumes bounds the number of such attempts, in addition to
	// MaxAttempts.
	MaxResumes int
	// MaxAttempts bounds the number of attempts, including the first one.
	// Values below one count as one.
	MaxAttempts int
	// MinTime is the minimum time that must be left before the deadline when an
	// attempt starts.
	MinTime time.Duration
}

// Record tracks the attempts of one request. The zero Record is ready for use.
type Record struct {
	attempts  int
	joined    Outcome // join of the attempts that have ended
	current   Outcome // outcome of the attempt in progress
	open      bool    // whether an attempt is in progress
	committed bool
}

// Begin starts an attempt if the policy allows one. now and deadline are times
// of the same clock. Begin returns nil or one of the errors of this package.
func (r *Record) Begin(p Policy, now, deadline time.Duration) error {
	if r.open {
		return ErrOpen
	}
	if err := r.CheckAttempt(p, now, deadline); err != nil {
		return err
	}
	r.attempts++
	r.open = true
	r.current = NotRun
	return nil
}

// CheckAttempt returns nil if another attempt may be made, and otherwise the
// error that states the reason.
func (r *Record) CheckAttempt(p Policy, now, deadline time.Duration) error {
	resumes := r.committed && p.Resume
	maxAttempts := max(p.MaxAttempts, 1)
	if resumes {
		maxAttempts += p.MaxResumes
	}
	switch {
	case r.committed && !p.Resume:
		return ErrCommitted
	case r.joined == Ran:
		return ErrAnswered
	case r.joined == MaybeRun && !p.Idempotent && !resumes:
		return ErrMayHaveRun
	case r.attempts >= maxAttempts:
		return ErrAttempts
	case now+p.MinTime >= deadline:
		return ErrDeadline
	}
	return nil
}

// MarkSending records that a connection is about to be used for writing the
// request. It must be called before the first byte can be sent. After that, the
// outcome of the attempt is at least MaybeRun, unless the endpoint refuses the
// request.
func (r *Record) MarkSending() error {
	if !r.open {
		return ErrNoAttempt
	}
	r.current = r.current.Join(MaybeRun)
	return nil
}

// Commit records that part of an answer was sent to the caller. After that,
// only attempts that continue the answer are possible; see Policy.Resume.
func (r *Record) Commit() {
	r.committed = true
}

// End ends the attempt with its result.
func (r *Record) End(result Result) error {
	if !r.open {
		return ErrNoAttempt
	}
	r.open = false
	switch result {
	case Answered:
		r.current = Ran
	case Refused:
		r.current = NotRun
	}
	r.joined = r.joined.Join(r.current)
	return nil
}

// Result is the way in which an attempt ended.
type Result uint8

// The results.
const (
	// Failed means that no complete answer was received.
	Failed Result = iota
	// Answered means that a complete answer was received.
	Answered
	// Refused means that a complete answer was received, which states that the
	// endpoint refused the request before doing any work.
	Refused
)

// Attempts returns the number of attempts started.
func (r *Record) Attempts() int { return r.attempts }

// Outcome returns the outcome of the request. It includes the attempt in
// progress, if there is one.
func (r *Record) Outcome() Outcome {
	if r.open {
		return r.joined.Join(r.current)
	}
	return r.joined
}

// Committed reports whether part of an answer was sent to the caller.
func (r *Record) Committed() bool { return r.committed }

// CertainlyNotRun reports whether the response to the caller may state that the
// request was not run.
func (r *Record) CertainlyNotRun() bool {
	return r.Outcome() == NotRun
}
