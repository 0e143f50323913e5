package filter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cumincove/cumincove/attempt"
	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/outcome"
	"github.com/cumincove/cumincove/poison"
	"github.com/cumincove/cumincove/resume"
	"github.com/cumincove/cumincove/retry"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// minAttemptTime is the remaining time below which no attempt is made.
	minAttemptTime = 10 * time.Millisecond
)

// Attempt is the last handler of the chain. It waits for a slot at an endpoint,
// makes an attempt there and forwards the response. It retries if the known
// effect of the earlier attempts allows it.
type Attempt struct {
	Views       *view.Store
	Dispatcher  *dispatch.Dispatcher
	Pool        *attempt.Pool
	Revocations *Revocations
	Freshness   Freshness
	Clock       clock.Clock
	Scope       tally.Scope
	// Suspects, if set, decides how to run requests that may crash endpoints. It is
	// nil where requests must always be served, even if endpoints crashed while
	// running them.
	Suspects *Suspects
	// FirstByteTimeout and IdleTimeout are the default timeouts for the first byte
	// of a response and between two parts of it. A service may override them.
	FirstByteTimeout time.Duration
	IdleTimeout      time.Duration
	// MaxResponseBytes bounds the body of a response, in bytes.
	MaxResponseBytes int64
	// Prepare, if set, adds fields to the header h of an attempt at an endpoint.
	Prepare func(r *Request, endpoint *view.Endpoint, h http.Header)
	// OnRan, if set, is called for each attempt that an endpoint has run or may have
	// run, completely or in part, with the time at which the attempt was handed off.
	OnRan func(r *Request, at time.Time)
	// RetryInternalErrors enables retries at another endpoint for idempotent
	// requests that an endpoint answered with status 500.
	RetryInternalErrors bool
	// KeepID sends the request's own ID with every attempt.
	KeepID bool
	// EndBy, if set, returns the boot time by which requests must end because this
	// instance ends. Ok is false unless it shuts down and callers have had the time to
	// turn to other instances.
	EndBy func() (at time.Duration, ok bool)

	budgets sync.Map // team to *teamBudget
}

// teamBudget holds the retry budgets of one team. Streams that are resumed at
// another endpoint have a separate budget, so that a burst of resumed streams
// does not use up the budget of the other requests.
type teamBudget struct {
	mu      sync.Mutex
	retries retry.Budget
	resumes retry.Budget
}

// ServeHTTP serves the request. The effect in its errors is the known effect of
// all attempts together.
func (a *Attempt) ServeHTTP(w http.ResponseWriter, r *Request) error {
	if err := a.checkEnd(r); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if r.KeyDigest != "" {
		stop := a.Revocations.OnRevoked(r.KeyDigest, cancel)
		defer stop()
	}
	t := &task{a: a, w: w, r: r, ctx: ctx, budget: a.budget(r.Team)}
	t.budget.request()
	t.stream = resumable(r)
	err := t.run()
	if err == nil {
		return nil
	}
	e := withEffect(err, &t.rec)
	assertEffect(r, e, &t.rec)
	return e
}

// checkEnd returns code.Draining unless the request ends, at its deadline at the latest,
// before this instance does.
func (a *Attempt) checkEnd(r *Request) error {
	if a.EndBy == nil {
		return nil
	}
	at, ok := a.EndBy()
	if ok && r.Deadline > at {
		return code.New(code.Draining, "the request may outlast this instance")
	}
	return nil
}

func (a *Attempt) budget(team string) *teamBudget {
	if b, ok := a.budgets.Load(team); ok {
		return b.(*teamBudget)
	}
	b, _ := a.budgets.LoadOrStore(team, new(teamBudget))
	return b.(*teamBudget)
}

func (b *teamBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.RecordRequest()
	b.resumes.RecordRequest()
}

func (b *teamBudget) spend(resumes bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if resumes {
		return b.resumes.Spend()
	}
	return b.retries.Spend()
}

// withEffect returns a copy of the error with the effect that the record proves.
func withEffect(err error, rec *outcome.Record) *code.Error {
	e := *asCode(err)
	switch rec.Outcome() {
	case outcome.NotRun:
		e.Effect = code.NotRun
	case outcome.MaybeRun:
		e.Effect = code.MaybeRun
	case outcome.Ran:
		e.Effect = code.Ran
	}
	return &e
}

// task is the state of one request over all its attempts.
type task struct {
	a      *Attempt
	w      http.ResponseWriter
	r      *Request
	ctx    context.Context
	rec    outcome.Record
	budget *teamBudget
	// lastEndpoint is the endpoint of the last attempt.
	lastEndpoint string
	// suspicion determines how the attempt is made. cachedFingerprint is the
	// request's fingerprint once it has been computed.
	suspicion         suspicion
	cachedFingerprint poison.Fingerprint
	// stream is the token stream if it can be resumed at another endpoint, and nil
	// otherwise.
	stream *resume.Stream
	// losses counts the endpoints that crashed while they ran the request.
	losses int
	// nextSlot is the slot that is reserved for the stream's next attempt.
	nextSlot *dispatch.Slot
	// answerStarted is set before the first part of an answer that can't be resumed is
	// sent to the caller.
	answerStarted atomic.Bool
	// streamedBytes counts the bytes of the stream forwarded so far.
	streamedBytes int64
	// handedOffAt is when the attempt was handed off to its connection; zero before
	// that.
	handedOffAt time.Time
	// nextMoveCheck is the earliest boot time of the next try to reserve nextSlot.
	nextMoveCheck time.Duration
}

// maxAttempts bounds the attempts of the request.
func (r *Request) maxAttempts() int {
	if r.Route.MaxAttempts > 0 {
		return r.Route.MaxAttempts
	}
	return maxAttempts
}

func (t *task) policy() outcome.Policy {
	return outcome.Policy{
		Idempotent:  t.r.Service.Idempotent,
		MaxAttempts: t.r.maxAttempts(),
		MinTime:     minAttemptTime,
		Resume:      t.stream != nil && t.stream.Started(),
		MaxResumes:  maxResumes,
	}
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (t *task) run() error {
	defer t.releaseNextSlot()
	for {
		again, err := t.attemptOnce()
		if err == nil || !again {
			return err
		}
		if why := t.rec.CheckAttempt(t.policy(), t.a.Clock.Now(), t.r.Deadline); why != nil {
			return exhausted(err, why)
		}
		t.a.Scope.Counter("retries").Inc(1)
		t.r.Logger().Info("attempt failed", "service", t.r.Service.Name, "endpoint", t.lastEndpoint,
			"attempt", t.rec.Attempts(), "outcome", t.rec.Outcome().String(), "error", err)
		if t.nextSlot != nil {
			continue // the next slot is reserved and the budget is charged already
		}
		if !t.budget.spend(t.policy().Resume) {
			return code.Wrap(code.RetryBudget, err, "after %v", err)
		}
		if err := t.pause(); err != nil {
			return err
		}
	}
}

// exhausted returns the error for a request that may not be retried. It is
// code.EndpointsExhausted if an endpoint refused the last attempt and no attempts
// are left.
func exhausted(err, why error) error {
	refused := asCode(err).Number == code.EndpointRefused
	if refused && errors.Is(why, outcome.ErrAttempts) {
		return code.Wrap(code.EndpointsExhausted, err, "last: %v", err)
	}
	return err
}

// pause waits a random time before a retry.
func (t *task) pause() error {
	timer := time.NewTimer(retry.Delay(t.rec.Attempts(), rand.Float64()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-t.ctx.Done():
		return stopError(t.ctx)
	}
}

// stopError returns the error for a request whose context has ended.
func stopError(ctx context.Context) error {
	var coded *code.Error
	if errors.As(context.Cause(ctx), &coded) {
		return coded
	}
	return code.Wrap(code.QueueTimeout, context.Cause(ctx), "")
}

// attemptOnce makes one attempt, and reports whether another attempt may succeed
// after its error.
func (t *task) attemptOnce() (again bool, err error) {
	slot, err := t.acquire()
	if err != nil {
		return false, err
	}
	defer t.suspicion.endIsolation()
	defer slot.Done(dispatch.Unused)
	if err := t.rec.Begin(t.policy(), t.a.Clock.Now(), t.r.Deadline); err != nil {
		return false, code.Wrap(code.QueueTimeout, err, "")
	}
	newConnection := t.rec.Attempts() > 1
	t.lastEndpoint = slot.Endpoint.Name
	t.r.RequestLog = RequestLog{Attempts: t.rec.Attempts(), Endpoint: t.lastEndpoint, Waited: t.a.Clock.Now() - t.r.Arrived}
	resp, err := t.a.Pool.Do(t.ctx, t.call(slot, newConnection))
	if err != nil {
		t.handleLoss(slot, err, false)
		t.end(slot, outcome.Failed, t.resultOf(err))
		return t.retryable(err), err
	}
	defer resp.Close()
	t.r.RequestLog.Status = resp.Status
	t.responseStarted(slot)
	if bytes, ok := resp.CachedPromptBytes(); ok {
		slot.RecordCachedBytes(bytes)
	}
	return t.forward(slot, resp)
}

// stillAllowed checks the request again against the newest configuration, which
// may have changed while the request was queued.
func (t *task) stillAllowed() error {
	r := t.r
	if r.Service.Open {
		return nil
	}
	if err := t.keyStillValid(); err != nil {
		return err
	}
	s, ok := t.a.Views.Load().Config.Services[r.Service.Name]
	if !ok || !MayCall(s, r.Team) {
		return code.New(code.TeamNotAllowed, "team %q, service %q", r.Team, r.Service.Name)
	}
	return nil
}

// keyStillValid returns an error if the request's key may have been withdrawn.
func (t *task) keyStillValid() error {
	switch {
	case t.r.Service.Open:
		return nil
	case !t.a.Freshness.Fresh(t.a.Clock.Now()):
		return code.New(code.NotFresh, "")
	case !validKey(t.a.Views.Load(), t.r.KeyDigest, t.r.Team):
		return code.New(code.KeyWithdrawn, "")
	}
	return nil
}

// end records the result of the attempt and releases its slot.
func (t *task) end(slot *dispatch.Slot, result outcome.Result, slotResult dispatch.Result) {
	_ = t.rec.End(result) // can't fail: an attempt is in progress
	if t.a.OnRan != nil && result != outcome.Refused && !t.handedOffAt.IsZero() {
		t.a.OnRan(t.r, t.handedOffAt)
	}
	t.handedOffAt = time.Time{}
	slot.Done(slotResult)
}

// retryable reports whether an attempt at another endpoint may succeed after err.
// It returns false once the request itself has been stopped.
func (t *task) retryable(err error) bool {
	if asCode(err).Number == code.EndpointLimits {
		return t.ctx.Err() == nil
	}
	result := t.resultOf(err)
	return result == dispatch.Failed || result == dispatch.Absent
}

// resultOf returns the slot's result for the error of an attempt. It is
// dispatch.Unused if the request was stopped by its caller or this instance, which
// implies nothing about the endpoint.
func (t *task) resultOf(err error) dispatch.Result {
	if t.ctx.Err() != nil {
		return dispatch.Unused
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return dispatch.Absent
	}
	switch asCode(err).Number {
	case code.EndpointRefused, code.EndpointLost, code.FirstByteTimeout,
		code.IdleTimeout, code.AnswerTruncated, code.AnswerMismatch, code.AnswerInvalid:
		return dispatch.Failed
	}
	return dispatch.Unused
}

func (t *task) call(slot *dispatch.Slot, newConnection bool) *attempt.Call {
	r := t.r
	isEngine := r.Service.Type == config.ServiceEngine
	body := r.Body
	if t.stream != nil && t.stream.Started() {
		body = t.stream.Body()
	}
	h := t.a.Pool.Dialect().RequestHeader(r.Header)
	if t.a.Prepare != nil {
		t.a.Prepare(r, slot.Endpoint, h)
	}
	return &attempt.Call{
		Endpoint:         slot.Endpoint.Name,
		Kind:             t.kind(),
		Addr:             slot.Endpoint.Addr,
		Host:             t.host(),
		Method:           r.Method,
		Target:           target(r),
		Header:           h,
		Body:             body,
		ID:               t.attemptID(),
		RequireID:        isEngine || t.a.Pool.Dialect().Strict,
		Stream:           isEngine && r.Path == generatePath,
		NewConnection:    newConnection,
		AtMostOnce:       !r.Service.Idempotent,
		FirstByteTimeout: orDefault(r.Service.FirstByteTimeout, t.a.FirstByteTimeout),
		IdleTimeout:      orDefault(r.Service.IdleTimeout, t.a.IdleTimeout),
		KeepWaiting:      t.keepWaiting(slot),
		Handoff:          func() error { return t.handOff(slot, h) },
	}
}

// keepWaiting returns the function that decides whether to wait for an endpoint that
// sent nothing for a timeout. Silence alone ends an attempt only if another one can
// follow, which is not so once the caller has got a part of the answer. Otherwise the
// attempt goes on until the request's deadline, unless the endpoint is gone or has been
// started anew.
func (t *task) keepWaiting(slot *dispatch.Slot) func() bool {
	another := t.stream != nil || t.r.Service.Idempotent && t.mayRetry()
	return func() bool {
		if another && !t.answerStarted.Load() {
			return false
		}
		e, ok := t.a.Views.Load().EndpointByName(slot.Endpoint.Name)
		return ok && e.Incarnation == slot.Endpoint.Incarnation && t.a.Clock.Now() < t.r.Deadline
	}
}

// kind returns what the attempt is for.
func (t *task) kind() attempt.Kind {
	switch {
	case t.r.Internal:
		return attempt.KindScore
	case t.rec.Attempts() > 1:
		return attempt.KindRetry
	}
	return attempt.KindRequest
}

// host returns the Host header to send. Endpoints behind a route get the caller's
// Host header; an empty string selects the endpoint's address.
func (t *task) host() string {
	if t.r.Route.Name == "" {
		return ""
	}
	return t.r.Host
}

// attemptID returns the ID that the endpoint receives.
func (t *task) attemptID() string {
	if t.a.KeepID {
		return t.r.ID
	}
	return attemptID(t.r.ID, t.rec.Attempts())
}

// handOff runs the last checks before bytes of the request can reach the
// endpoint, and records that the attempt is handed off.
func (t *task) handOff(slot *dispatch.Slot, h http.Header) error {
	if slot.Leaving() {
		return code.New(code.EndpointRefused, "endpoint %s is leaving", slot.Endpoint.Name)
	}
	if !slot.StillMatches() {
		return code.New(code.NoMatchingEndpoint, "endpoint %s changed", slot.Endpoint.Name)
	}
	if err := t.stillAllowed(); err != nil {
		return err
	}
	if t.rec.Outcome() == outcome.NotRun { // another instance can run it
		if err := t.a.checkEnd(t.r); err != nil {
			return err
		}
	}
	if !slot.MaySend() {
		return code.New(code.EndpointLimits, "endpoint %s", slot.Endpoint.Name)
	}
	if by := t.r.SendBy; by > 0 && t.a.Clock.Now() > by {
		return code.New(code.DeadlineTooNear, "the request's ID is not held any more")
	}
	if err := t.assertHandOff(slot, h); err != nil {
		return err
	}
	t.handedOffAt = time.Now()
	return t.rec.MarkSending()
}

func orDefault(d config.Duration, fallback time.Duration) time.Duration {
	if d > 0 {
		return time.Duration(d)
	}
	return fallback
}
