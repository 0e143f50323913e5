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
// takes connections.
const probeTimeout = time.Second

// suspicion is what is known against a request.
type suspicion struct {
	poison.Judgement
	// endTurn ends the turn of one that runs alone.
	endTurn func()
}

// alone reports whether the request is run by itself.
func (s suspicion) alone() bool {
	return s.Verdict == poison.RunAlone || s.Verdict == poison.RunAloneToEnd
}

// end lets the next request of the same content run.
func (s suspicion) end() {
	if s.endTurn != nil {
		s.endTurn()
	}
}

// acquire waits for a place, alone if the request is suspect.
func (t *try) acquire() (*dispatch.Slot, error) {
	if slot := t.moved; slot != nil {
		t.moved = nil
		return slot, nil
	}
	for {
		t.suspicion = t.judge()
		slot, err := t.place()
		if err != nil {
			t.suspicion.end()
			return nil, err
		}
		if t.judge().Verdict == t.suspicion.Verdict {
			return slot, nil
		}
		slot.Done(dispatch.Unused) // it became suspect, or was cleared, meanwhile
		t.suspicion.end()
	}
}

// judge says how the attempt is made. A stream that was lost with its endpoint
// once goes on among others: mostly it was not the cause, and alone, all the
// streams of that endpoint would wait for each other. From the second loss on it
// runs alone.
func (t *try) judge() suspicion {
	if t.a.Suspects == nil || !t.a.Suspects.any() {
		return suspicion{}
	}
	judgement := t.a.Suspects.judge(t.fingerprint())
	if judgement.Verdict < poison.Wait && t.losses == 1 && t.policy().Resume {
		judgement.Verdict = poison.Run
	}
	return suspicion{Judgement: judgement}
}

// fingerprint identifies the request. It is made once, when it is needed.
func (t *try) fingerprint() poison.Fingerprint {
	if t.content == (poison.Fingerprint{}) {
		t.content = fingerprint(t.r)
	}
	return t.content
}

func (t *try) place() (*dispatch.Slot, error) {
	switch t.suspicion.Verdict {
	case poison.Run:
		return t.a.Dispatcher.Acquire(t.ctx, t.work())
	case poison.Wait:
		return nil, t.refuse(code.PoisonPause)
	case poison.Refuse:
		return nil, t.refuse(code.Poison)
	}
	end, err := t.a.Suspects.turn(t.ctx, t.fingerprint())
	if err != nil {
		return nil, err
	}
	t.suspicion.endTurn = end
	return t.a.Dispatcher.AcquireAlone(t.ctx, t.work())
}

// refuse ends a request that crashed endpoints, or may have.
func (t *try) refuse(n code.Number) error {
	t.r.Logger().Warn("poison request refused", "service", t.r.Service.Name,
		"content", t.fingerprint(), "code", int(n), "for", t.suspicion.After)
	err := code.New(n, "")
	err.RetryAfter = t.suspicion.After
	return err
}

// suspect notes a lost request. Its endpoint crashed if it takes no new
// connections. Otherwise, and if the request's time is over, that may turn out
// later.
func (t *try) suspect(slot *dispatch.Slot, err error, begun bool) {
	if t.a.Suspects == nil || t.handedAt.IsZero() || !isLoss(err) {
		return
	}
	e := slot.Endpoint
	loss := poison.Rumour{
		Fingerprint: t.fingerprint(), Endpoint: e.Name, Incarnation: e.Incarnation,
		Alone: t.suspicion.alone(), Begun: begun,
	}
	var down error
	if t.ctx.Err() == nil && isBroken(err) {
		down = t.probe(e.Addr)
	}
	loss.Crashed = down != nil
	t.noteLoss(loss, err, down)
	t.a.Suspects.lost(loss)
}

// isLoss reports whether an attempt ended without a whole answer, be it that
// nothing came in time or that the caller left.
func isLoss(err error) bool {
	switch asCode(err).Number {
	case code.FirstByteTimeout, code.IdleTimeout, code.CallerTimeout:
		return true
	}
	return isBroken(err)
}

// isBroken reports whether the endpoint's side ended the attempt.
func isBroken(err error) bool {
	switch asCode(err).Number {
	case code.EndpointLost, code.AnswerTruncated:
		return true
	}
	return false
}

// noteLoss counts and logs a loss, and what the probe of its endpoint met.
func (t *try) noteLoss(loss poison.Rumour, err, down error) {
	t.a.Scope.Tagged(map[string]string{"crashed": strconv.FormatBool(loss.Crashed)}).Counter("requests_lost").Inc(1)
	log := t.r.Logger().With("endpoint", loss.Endpoint, "incarnation", loss.Incarnation,
		"content", loss.Fingerprint, "alone", loss.Alone, "begun", loss.Begun, "lost", err)
	if !loss.Crashed {
		log.Info("request lost, its endpoint may have crashed")
		return
	}
	t.losses++
	t.a.Scope.Counter("endpoint_crashes").Inc(1)
	log.Warn("endpoint crashed", "evidence", "probe", "probe", down)
}

// probe checks whether an endpoint takes a new connection.
func (t *try) probe(addr string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), probeTimeout)
	defer cancel()
	return t.a.Pool.Probe(ctx, addr)
}

// ended notes an answer that says that the endpoint is not at its address.
func (t *try) ended(slot *dispatch.Slot) {
	if t.a.Suspects != nil {
		t.a.Suspects.ended(slot.Endpoint)
	}
}

// began lets a suspect's endpoint take other work once its answer begins, unless
// it was lost later than that before.
func (t *try) began(slot *dispatch.Slot) {
	slot.FirstByte()
	if t.suspicion.Verdict == poison.RunAlone {
		slot.Share()
		t.suspicion.end()
	}
}

// cleared notes a whole answer to a request of which losses are known.
func (t *try) cleared() {
	if t.suspicion.Known {
		t.a.Suspects.answered(t.fingerprint(), t.suspicion.alone())
	}
}
