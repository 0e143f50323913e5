package rollout

import (
	"time"

	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/ledger"
)

// finishCancelled is the engine's finish reason for an incomplete sample.
const finishCancelled = "cancelled"

// Chunk reports a chunk of a stream. It returns false when the stream is no
// longer needed; the caller may then drop it.
//
// Chunk rejects tokens without a weight version, and chunks that do not start
// at the next token position. The slot then resumes at another endpoint from the
// tokens received before.
func (s *Step) Chunk(now time.Duration, id RunID, c engine.Chunk) bool {
	r, ok := s.runs[id]
	if !ok {
		return false
	}
	if c.Index != len(r.partial.tokens) && len(c.Tokens) > 0 {
		s.interrupt(now, r)
		return false
	}
	if len(c.Tokens) > 0 && c.WeightVersion == 0 {
		s.interrupt(now, r)
		return false
	}
	r.partial.add(c)
	s.Advance(c.WeightVersion)
	if _, ok := s.runs[id]; !ok {
		return false
	}
	if !s.usable(r.partial) {
		r.partial.reset()
		s.interrupt(now, r)
		return false
	}
	if !c.Done {
		return true
	}
	s.finish(now, r, c.FinishReason)
	return false
}

// StreamEnded reports that a stream ended without its last chunk. NotRun means
// that the engine did not execute the request. The call does nothing if the
// stream has been finished or stopped before.
func (s *Step) StreamEnded(now time.Duration, id RunID, notRun bool) {
	r, ok := s.runs[id]
	if !ok {
		return
	}
	delete(s.runs, id)
	s.avoidUntil[r.endpoint] = now + avoidPeriod
	if !notRun {
		r.countLoss()
	}
	s.keepPartial(r)
}

// EvacuateEndpoint stops the streams of an endpoint and queues their slots to
// resume at other endpoints from the tokens produced so far.
func (s *Step) EvacuateEndpoint(endpoint string) {
	for _, r := range s.stopAll(func(r *run) bool { return r.endpoint == endpoint }) {
		s.keepPartial(r)
	}
}

// interrupt stops a stream whose endpoint misbehaves, and queues its slot to
// resume from the tokens received.
func (s *Step) interrupt(now time.Duration, r *run) {
	s.stop(r)
	s.avoidUntil[r.endpoint] = now + avoidPeriod
	s.keepPartial(r)
}

// keepPartial keeps the tokens of an interrupted stream for the next stream of
// the slot. It fails the group instead if the slot has lost maxLosses streams
// in a row.
func (s *Step) keepPartial(r *run) {
	if r.partial.losses >= maxLosses {
		s.failed[r.slot.Group] = true
		return
	}
	s.partials[r.slot] = r.partial
	s.requeue(r.slot)
}

func (r *run) countLoss() {
	if len(r.partial.tokens) > r.resumedTokens {
		r.partial.losses = 0
		return
	}
	r.partial.losses++
}

func (s *Step) finish(now time.Duration, r *run, reason string) {
	if reason == finishCancelled && r.halted() {
		delete(s.runs, r.id)
		r.partial.from = Source{Run: r.id, Endpoint: r.endpoint}
		s.keepPartial(r)
		return
	}
	if reason == finishCancelled || len(r.partial.tokens) == 0 {
		delete(s.runs, r.id)
		s.avoidUntil[r.endpoint] = now + avoidPeriod
		r.countLoss()
		s.keepPartial(r)
		return
	}
	delete(s.runs, r.id)
	s.recordShortRun(now, r)
	s.completed.samples++
	s.completed.tokens += len(r.partial.tokens)
	err := s.slots.Fill(now, ledger.Sample{
		Slot:    r.slot,
		Attempt: r.attempt,
		Tokens:  r.partial.tokens,
		Spans:   r.partial.spans,
		Finish:  reason,
	})
	if err != nil {
		s.requeue(r.slot)
	}
}

// add appends a chunk's tokens and attributes them to its weight version.
func (p *partial) add(c engine.Chunk) {
	if len(c.Tokens) == 0 {
		return
	}
	from := len(p.tokens)
	p.tokens = append(p.tokens, c.Tokens...)
	if n := len(p.spans); n > 0 && p.spans[n-1].Version == c.WeightVersion {
		p.spans[n-1].To = len(p.tokens)
		return
	}
	p.spans = append(p.spans, ledger.Span{From: from, To: len(p.tokens), Version: c.WeightVersion})
}
