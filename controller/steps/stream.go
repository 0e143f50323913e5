package steps

import (
	"context"
	"errors"
	"time"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
)

// stream generates a sample at an endpoint.
func (r *runner) stream(ctx context.Context, e *view.Endpoint, a durable.Start) {
	began := r.c.o.Clock.Now()
	events := 0
	meter := speedMeter{c: r.c, endpoint: e}
	err := r.c.o.Engines.Generate(ctx, r.generateRequest(e, a), func(ev infra.Event) error {
		r.mu.Lock()
		defer r.mu.Unlock()
		if events++; events == 1 {
			r.c.o.Scope.Timer("sample_first_event").Record(r.c.o.Clock.Now() - began)
		}
		meter.observe()
		return r.step.Event(a.Run, ev.Index, ev.Text, ev.Version)
	})
	e.Stats.InFlight.Add(-1)
	end := endOf(err)
	now := r.c.o.Clock.Now()
	r.c.o.Scope.Timer("sample_stream").Record(now - began)
	if end != durable.Completed && ctx.Err() == nil {
		r.log.Info("sample stream ended early", "sample", a.Sample.ID, "endpoint", e.Name,
			"after", a.After, "events", events, "took", now-began, "error", err)
		r.c.o.Scope.Counter("sample_streams_broken").Inc(1)
	}
	r.mu.Lock()
	delete(r.streams, a.Run)
	r.step.Ended(now, a.Run, end)
	r.mu.Unlock()
	r.wakeUp()
}

func (r *runner) generateRequest(e *view.Endpoint, a durable.Start) infra.GenerateRequest {
	return infra.GenerateRequest{
		Engine:    infra.EngineRef{Endpoint: e.Name, Addr: e.Addr},
		ID:        a.Sample.ID,
		Host:      r.spec.Host,
		Team:      r.spec.Team,
		Path:      a.Sample.Path,
		Header:    a.Sample.Header,
		Body:      a.Sample.Body,
		LastIndex: a.After,
		Priority:  priorityOf(a),
		Timeout:   time.Duration(r.spec.AbandonAfter-unixMillis()) * time.Millisecond,
		Handoff:   func() error { return r.c.takePermit(e) },
	}
}

func endOf(err error) durable.End {
	switch {
	case err == nil:
		return durable.Completed
	case errors.Is(err, infra.ErrNotRun):
		return durable.Refused
	case errors.Is(err, infra.ErrSampleFailed):
		return durable.Failed
	case errors.Is(err, infra.ErrSampleRejected):
		return durable.Rejected
	}
	return durable.Interrupted
}

func (r *runner) score(ctx context.Context, a durable.Score) {
	score, end := r.c.o.Score(ctx, r.scoreCall(a.Scorer))
	if end != durable.ScoreDone && ctx.Err() == nil {
		r.log.Info("sample not scored", "sample", a.ID, "call", a.Scorer.ID, "failed", end == durable.ScoreFailed)
	}
	r.mu.Lock()
	r.step.Scored(r.c.o.Clock.Now(), a.ID, score, end)
	r.mu.Unlock()
	r.wakeUp()
}

func (r *runner) scoreCall(s durable.Scorer) ScoreCall {
	call := ScoreCall{Scorer: s, Team: r.spec.Team, Route: r.spec.Route}
	if r.spec.Due > 0 {
		call.Due = dueAt(r.c.o.Clock.Now(), r.spec)
	}
	return call
}
