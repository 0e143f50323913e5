package filter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
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
	// minAttemptTime is the time left below which no attempt is made.
	minAttemptTime = 10 * time.Millisecond
)

// Attempt is the last handler of the chain: it waits for a place at an
// endpoint, makes an attempt there and passes the answer on, and tries again as
// far as what is known of the request's execution allows.
type Attempt struct {
	Views       *view.Store
	Dispatcher  *dispatch.Dispatcher
	Pool        *attempt.Pool
	Revocations *Revocations
	Freshness   Freshness
	Clock       clock.Clock
	Scope       tally.Scope
	// Suspects, if set, judges the requests. Those that are owed whatever
	// crashed under them go without.
	Suspects *Suspects
	// FirstByte and Idle bound an endpoint's silence before and within its
	// answer, unless the service says otherwise.
	FirstByte time.Duration
	Idle      time.Duration
	// MaxAnswer bounds an answer's body, in bytes.
	MaxAnswer int64
	// Prepare, if set, adds to the header of an attempt at an endpoint.
	Prepare func(r *Request, endpoint *view.Endpoint, h http.Header)
	// Ran, if set, is told of each attempt that an endpoint has begun to run, or
	// may have, and when it was handed over.
	Ran func(r *Request, at time.Time)
	// RetryFaults has idempotent requests tried elsewhere that an endpoint
	// answered with a fault of its own.
	RetryFaults bool
	// KeepID sends the request's own ID with every attempt.
	KeepID bool

	budgets sync.Map // team to *teamBudget
}

// teamBudget holds one team's budgets of retries. Streams that go on elsewhere
// have one of their own, so that in bad times they leave the other requests
// theirs.
type teamBudget struct {
	mu      sync.Mutex
	again   retry.Budget
	resumes retry.Budget
}

// ServeHTTP serves the request. The effect in its errors is what is known of
// the request's execution over all attempts.
func (a *Attempt) ServeHTTP(w http.ResponseWriter, r *Request) error {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if r.KeyDigest != "" {
		stop := a.Revocations.OnRevoked(r.KeyDigest, cancel)
		defer stop()
	}
	t := &try{a: a, w: w, r: r, ctx: ctx, budget: a.budget(r.Team)}
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
	b.again.Request()
	b.resumes.Request()
}

func (b *teamBudget) spend(resumes bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if resumes {
		return b.resumes.Spend()
	}
	return b.again.Spend()
}

// withEffect gives an error the effect that the record proves.
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

// try is one request with its attempts.
type try struct {
	a      *Attempt
	w      http.ResponseWriter
	r      *Request
	ctx    context.Context
	rec    outcome.Record
	budget *teamBudget
	// last is the endpoint of the last attempt.
	last string
	// suspicion says how the attempt is made, and content is the request's
	// fingerprint once it is needed.
	suspicion suspicion
	content   poison.Fingerprint
	// stream is the token stream, if it may go on elsewhere; else nil.
	stream *resume.Stream
	// losses counts the endpoints that crashed with the request.
	losses int
	// moved holds the place that the stream moves to, until it does.
	moved *dispatch.Slot
	// sent counts the bytes of the stream that were passed on.
	sent int64
	// handedAt is when the attempt was handed over; zero before.
	handedAt time.Time
	// moveAt is when to look for such a place again, in boot time.
	moveAt time.Duration
}

// maxAttempts bounds the attempts of the request.
func (r *Request) maxAttempts() int {
	if r.Route.MaxAttempts > 0 {
		return r.Route.MaxAttempts
	}
	return maxAttempts
}

func (t *try) policy() outcome.Policy {
	return outcome.Policy{
		Idempotent:  t.r.Service.Idempotent,
		MaxAttempts: t.r.maxAttempts(),
		MinTime:     minAttemptTime,
		Resume:      t.stream != nil && t.stream.Begun(),
		MaxResumes:  maxResumes,
	}
}

// run makes attempts until one succeeds or no other may be made.
func (t *try) run() error {
	defer t.stay()
	for {
		again, err := t.once()
		if err == nil || !again {
			return err
		}
		if why := t.rec.May(t.policy(), t.a.Clock.Now(), t.r.Deadline); why != nil {
			return exhausted(err, why)
		}
		t.a.Scope.Counter("retries").Inc(1)
		t.r.Logger().Info("attempt failed", "service", t.r.Service.Name, "endpoint", t.last,
			"attempt", t.rec.Attempts(), "outcome", t.rec.Outcome().String(), "error", err)
		if t.moved != nil {
			continue // the next place is there, and the budget was asked
		}
		if !t.budget.spend(t.policy().Resume) {
			return code.Wrap(code.RetryBudget, err, "after %v", err)
		}
		if err := t.pause(); err != nil {
			return err
		}
	}
}

// exhausted tells the caller of a request that no endpoint would take.
func exhausted(err, why error) error {
	refused := asCode(err).Number == code.EndpointRefused
	if refused && errors.Is(why, outcome.ErrAttempts) {
		return code.Wrap(code.EndpointsExhausted, err, "last: %v", err)
	}
	return err
}

// pause waits a random time before a retry.
func (t *try) pause() error {
	timer := time.NewTimer(retry.Delay(t.rec.Attempts(), rand.Float64()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-t.ctx.Done():
		return stopped(t.ctx)
	}
}

// stopped says why a request was stopped from outside.
func stopped(ctx context.Context) error {
	var coded *code.Error
	if errors.As(context.Cause(ctx), &coded) {
		return coded
	}
	return code.Wrap(code.QueueTimeout, context.Cause(ctx), "")
}

// once makes one attempt, and reports whether its error is one that another
// attempt may mend.
func (t *try) once() (again bool, err error) {
	slot, err := t.acquire()
	if err != nil {
		return false, err
	}
	defer t.suspicion.end()
	defer slot.Done(dispatch.Unused)
	if err := t.rec.Begin(t.policy(), t.a.Clock.Now(), t.r.Deadline); err != nil {
		return false, code.Wrap(code.QueueTimeout, err, "")
	}
	fresh := t.rec.Attempts() > 1
	t.last = slot.Endpoint.Name
	t.r.Trail = Trail{Attempts: t.rec.Attempts(), Endpoint: t.last, Waited: t.a.Clock.Now() - t.r.Arrived}
	answer, err := t.a.Pool.Do(t.ctx, t.call(slot, fresh))
	if err != nil {
		t.suspect(slot, err, false)
		t.end(slot, outcome.Failed, t.resultOf(err))
		return t.mendable(err), err
	}
	defer answer.Close()
	t.r.Trail.Status = answer.Status
	t.began(slot)
	if bytes, ok := answer.CachedPrompt(); ok {
		slot.Cached(bytes)
	}
	return t.pass(slot, answer)
}

// stillAllowed checks the request again with the newest configuration, since
// it may have waited.
func (t *try) stillAllowed() error {
	r := t.r
	if r.Service.Open {
		return nil
	}
	v := t.a.Views.Load()
	s, ok := v.Config.Services[r.Service.Name]
	switch {
	case !t.a.Freshness.Fresh(t.a.Clock.Now()):
		return code.New(code.NotFresh, "")
	case !validKey(v, r.KeyDigest, r.Team):
		return code.New(code.KeyWithdrawn, "")
	case !ok || !MayCall(s, r.Team):
		return code.New(code.TeamNotAllowed, "team %q, service %q", r.Team, r.Service.Name)
	}
	return nil
}

// end ends the attempt in the record and at the endpoint.
func (t *try) end(slot *dispatch.Slot, result outcome.Result, place dispatch.Result) {
	_ = t.rec.End(result) // an attempt is under way
	if t.a.Ran != nil && result != outcome.Refused && !t.handedAt.IsZero() {
		t.a.Ran(t.r, t.handedAt)
	}
	t.handedAt = time.Time{}
	slot.Done(place)
}

// mendable reports whether another endpoint may do better. None can once the
// request itself was stopped.
func (t *try) mendable(err error) bool {
	result := t.resultOf(err)
	return result == dispatch.Failed || result == dispatch.Absent
}

// resultOf says what an attempt's error tells of its endpoint: nothing, if the
// request was stopped from here.
func (t *try) resultOf(err error) dispatch.Result {
	if t.ctx.Err() != nil {
		return dispatch.Unused
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return dispatch.Absent
	}
	switch asCode(err).Number {
	case code.EndpointRefused, code.EndpointLost, code.FirstByteTimeout,
		code.IdleTimeout, code.AnswerTruncated, code.AnswerMismatch:
		return dispatch.Failed
	}
	return dispatch.Unused
}

func (t *try) call(slot *dispatch.Slot, fresh bool) *attempt.Call {
	r := t.r
	isEngine := r.Service.Type == config.ServiceEngine
	body := r.Body
	if t.stream != nil && t.stream.Begun() {
		body = t.stream.Body()
	}
	h := t.a.Pool.Dialect().RequestHeader(r.Header)
	if t.a.Prepare != nil {
		t.a.Prepare(r, slot.Endpoint, h)
	}
	return &attempt.Call{
		Endpoint:  slot.Endpoint.Name,
		Addr:      slot.Endpoint.Addr,
		Host:      t.host(),
		Method:    r.Method,
		Path:      r.Path,
		RawPath:   rawPath(r),
		RawQuery:  r.URL.RawQuery,
		Header:    h,
		Body:      body,
		ID:        t.attemptID(),
		MustEcho:  isEngine || t.a.Pool.Dialect().Strict,
		Stream:    isEngine && r.Path == generatePath,
		Fresh:     fresh,
		Once:      !r.Service.Idempotent,
		FirstByte: orDefault(r.Service.FirstByteTimeout, t.a.FirstByte),
		Idle:      orDefault(r.Service.IdleTimeout, t.a.Idle),
		HandOver:  func() error { return t.handOver(slot, h) },
	}
}

// host is the header of that name: endpoints behind routes see the caller's.
func (t *try) host() string {
	if t.r.Route.Name == "" {
		return ""
	}
	return t.r.Host
}

// attemptID is the ID that the endpoint sees.
func (t *try) attemptID() string {
	if t.a.KeepID {
		return t.r.ID
	}
	return attemptID(t.r.ID, t.rec.Attempts())
}

// handOver is the last check before bytes of the request can reach the
// endpoint.
func (t *try) handOver(slot *dispatch.Slot, h http.Header) error {
	if slot.Leaving() {
		return code.New(code.EndpointRefused, "endpoint %s is leaving", slot.Endpoint.Name)
	}
	if !slot.Meets() {
		return code.New(code.NoMatchingEndpoint, "endpoint %s changed", slot.Endpoint.Name)
	}
	if err := t.stillAllowed(); err != nil {
		return err
	}
	if by := t.r.HandOverBy; by > 0 && t.a.Clock.Now() > by {
		return code.New(code.DeadlineTooNear, "the request's ID is not held any more")
	}
	if err := t.assertHandOver(slot, h); err != nil {
		return err
	}
	t.handedAt = time.Now()
	return t.rec.HandOver()
}

func orDefault(d config.Duration, fallback time.Duration) time.Duration {
	if d > 0 {
		return time.Duration(d)
	}
	return fallback
}
