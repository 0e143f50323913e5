package filter

import (
	"context"
	"strconv"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/dispatch"
	"github.com/cumincove/cumincove/poison"
)

// probeTimeout bounds the check whether an endpoint that lost a request still
// accepts connections.
const probeTimeout = time.Second

// suspicion determines how an attempt of a request is made, based on the endpoints
// that were lost while they ran the request.
type suspicion struct {
	poison.Judgement
	// release ends the isolation of a request that runs in isolation; else nil.
	release func()
}

// isolated reports whether the request runs in isolation.
func (s suspicion) isolated() bool {
	return s.Verdict == poison.RunIsolated || s.Verdict == poison.RunIsolatedToEnd
}

// endIsolation allows the next request with the same fingerprint to run. Later
// calls do nothing.
func (s suspicion) endIsolation() {
	if s.release != nil {
		s.release()
	}
}

// acquire waits for a slot. A suspect request gets an endpoint in isolation.
func (t *task) acquire() (*dispatch.Slot, error) {
	if slot := t.nextSlot; slot != nil {
		t.nextSlot = nil
		return slot, nil
	}
	for {
		t.suspicion = t.judge()
		slot, err := t.acquireSlot()
		if err != nil {
			t.suspicion.endIsolation()
			return nil, err
		}
		if t.judge().Verdict == t.suspicion.Verdict {
			return slot, nil
		}
		slot.Done(dispatch.Unused) // the request became suspect or was cleared during the wait
		t.suspicion.endIsolation()
	}
}

// judge decides how the attempt is made. A stream that was lost once, with its
// endpoint, is resumed without isolation: in most cases it did not cause the crash,
// and in isolation all streams of that endpoint would wait for each other. From the
// second loss on it runs in isolation.
func (t *task) judge() suspicion {
	if t.a.Suspects == nil || !t.a.Suspects.hasSuspects() {
		return suspicion{}
	}
	judgement := t.a.Suspects.judge(t.fingerprint())
	if judgement.Verdict < poison.Wait && t.losses == 1 && t.policy().Resume {
		judgement.Verdict = poison.Run
	}
	return suspicion{Judgement: judgement}
}

// fingerprint returns the request's fingerprint, which is computed at the first
// call.
func (t *task) fingerprint() poison.Fingerprint {
	if t.cachedFingerprint == (poison.Fingerprint{}) {
		t.cachedFingerprint = fingerprint(t.r)
	}
	return t.cachedFingerprint
}

// acquireSlot waits for a slot according to the suspicion, or refuses the request.
func (t *task) acquireSlot() (*dispatch.Slot, error) {
	switch t.suspicion.Verdict {
	case poison.Run:
		return t.a.Dispatcher.Acquire(t.ctx, t.work())
	case poison.Wait:
		return nil, t.refuse(code.PoisonPause)
	case poison.Refuse:
		return nil, t.refuse(code.Poison)
	}
	end, err := t.a.Suspects.isolate(t.ctx, t.fingerprint())
	if err != nil {
		return nil, err
	}
	t.suspicion.release = end
	return t.a.Dispatcher.AcquireIsolated(t.ctx, t.work())
}

// refuse returns the error for a request that crashed endpoints or may have crashed
// them.
func (t *task) refuse(n code.Number) error {
	t.r.Logger().Warn("poison request refused", "service", t.r.Service.Name,
		"content", t.fingerprint(), "code", int(n), "for", t.suspicion.RetryAfter)
	err := code.New(n, "")
	err.RetryAfter = t.suspicion.RetryAfter
	return err
}

// handleLoss records that the endpoint may have crashed while it ran the
// request. It probes the endpoint if the endpoint's side ended the attempt
// while the request was still running: an endpoint that accepts no new
// connections has crashed. In all other cases a crash may still be detected
// later.
func (t *task) handleLoss(slot *dispatch.Slot, err error, answerStarted bool) {
	if t.a.Suspects == nil || t.handedOffAt.IsZero() || !isLoss(err) {
		return
	}
	e := slot.Endpoint
	loss := poison.LossReport{
		Fingerprint: t.fingerprint(), Endpoint: e.Name, Incarnation: e.Incarnation,
		Isolated: t.suspicion.isolated(), AnswerStarted: answerStarted,
	}
	var down error
	if t.ctx.Err() == nil && endedByEndpoint(err) {
		down = t.probe(e.Addr)
	}
	loss.Crashed = down != nil
	t.logLoss(loss, err, down)
	t.a.Suspects.recordLoss(loss)
}

// isLoss reports whether an attempt ended without a complete response, which
// includes timeouts and callers that disconnect.
func isLoss(err error) bool {
	switch asCode(err).Number {
	case code.FirstByteTimeout, code.IdleTimeout, code.CallerTimeout:
		return true
	}
	return endedByEndpoint(err)
}

// endedByEndpoint reports whether the endpoint's side of the connection ended the
// attempt.
func endedByEndpoint(err error) bool {
	switch asCode(err).Number {
	case code.EndpointLost, code.AnswerTruncated:
		return true
	}
	return false
}

// logLoss counts and logs a loss. The error down is the result of the probe of its
// endpoint.
func (t *task) logLoss(loss poison.LossReport, err, down error) {
	t.a.Scope.Tagged(map[string]string{"crashed": strconv.FormatBool(loss.Crashed)}).Counter("requests_lost").Inc(1)
	log := t.r.Logger().With("endpoint", loss.Endpoint, "incarnation", loss.Incarnation,
		"content", loss.Fingerprint, "alone", loss.Isolated, "begun", loss.AnswerStarted, "lost", err)
	if !loss.Crashed {
		log.Info("request lost, its endpoint may have crashed")
		return
	}
	t.losses++
	t.a.Scope.Counter("endpoint_crashes").Inc(1)
	log.Warn("endpoint crashed", "evidence", "probe", "probe", down)
}

// probe checks whether an endpoint accepts a new connection. It is not cut short by
// the end of the request's context.
func (t *task) probe(addr string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), probeTimeout)
	defer cancel()
	return t.a.Pool.Probe(ctx, addr)
}

// endpointEnded records that a response with status 421 showed the endpoint to
// be no longer at its address.
func (t *task) endpointEnded(slot *dispatch.Slot) {
	if t.a.Suspects != nil {
		t.a.Suspects.endpointEnded(slot.Endpoint)
	}
}

// responseStarted records the first byte of a response. It ends the isolation of a
// suspect request, unless an earlier loss of the request occurred after the first
// byte.
func (t *task) responseStarted(slot *dispatch.Slot) {
	slot.RecordFirstByte()
	if t.suspicion.Verdict == poison.RunIsolated {
		slot.Share()
		t.suspicion.endIsolation()
	}
}

// recordSuccess records a complete response if the request has recorded losses.
func (t *task) recordSuccess() {
	if t.suspicion.HasLosses {
		t.a.Suspects.recordCompleteResponse(t.fingerprint(), t.suspicion.isolated())
	}
}
