package steps

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/durable"
)

const (
	// readPoll is the time between two reads for a caller that waits.
	readPoll = 60 * time.Millisecond
	// viewTime is how long what was read of a step is kept after its last use.
	viewTime = 20 * time.Second
	// answerBytes bounds the texts in one answer, unless one alone is longer.
	answerBytes = 900 << 10
)

// stepView is what was read of a step. Results never change, so those that were
// read stay good.
type stepView struct {
	head  head
	ended atomic.Bool
	// usedAt is the boot time of the last use.
	usedAt atomic.Int64

	// turn holds a token while nobody reads the store, so that one read serves
	// all who wait. Who has it may use results.
	turn    chan struct{}
	results []durable.Result
}

func newStepView(s state) *stepView {
	v := &stepView{head: s.head, turn: make(chan struct{}, 1)}
	v.turn <- struct{}{}
	v.ended.Store(s.ended)
	return v
}

// Results is an answer to a read.
type Results struct {
	// Total is the number of samples and Next the position after the last of
	// Results.
	Total   int
	Next    int
	Results []durable.Result
}

// lookup returns the state of a team's step. It returns code.StepUnknown if
// there is none, and code.StoreDown if that can't be told.
func (c *Controller) lookup(ctx context.Context, id, team string) (state, error) {
	c.mu.Lock()
	v := c.views[id]
	c.mu.Unlock()
	if v != nil {
		v.usedAt.Store(int64(c.o.Clock.Now()))
		return state{head: v.head, headVersion: 1, ended: v.ended.Load()}, sameTeam(v.head, team)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := readState(call, c.table(id))
	switch {
	case err != nil:
		return state{}, code.Wrap(code.StoreDown, err, "")
	case !s.accepted():
		return state{}, code.New(code.StepUnknown, "")
	}
	if err := sameTeam(s.head, team); err != nil {
		return state{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.views[id] == nil {
		c.views[id] = newStepView(s)
	}
	c.views[id].usedAt.Store(int64(c.o.Clock.Now()))
	return s, nil
}

func sameTeam(h head, team string) error {
	if h.Team != team {
		return code.New(code.StepUnknown, "")
	}
	return nil
}

// Read returns the results of a team's step from a position on, and waits for
// one if there is none yet.
func (c *Controller) Read(ctx context.Context, id, team string, from int, wait time.Duration) (Results, error) {
	s, err := c.lookup(ctx, id, team)
	if err != nil {
		return Results{}, err
	}
	c.mu.Lock()
	v := c.views[id]
	c.mu.Unlock()
	if v == nil {
		return Results{}, code.New(code.StoreDown, "forgotten meanwhile")
	}
	until := c.o.Clock.Now() + wait
	for {
		list, err := c.results(ctx, id, v, from, s.head.Total)
		if len(list) > 0 || from >= s.head.Total && err == nil {
			return answer(s.head.Total, from, list), nil
		}
		left := until - c.o.Clock.Now()
		if left <= 0 || ctx.Err() != nil {
			if err != nil {
				return Results{}, code.Wrap(code.StoreDown, err, "")
			}
			return answer(s.head.Total, from, nil), nil
		}
		if c.await(ctx, id, min(left, readPoll)) != nil {
			return Results{}, code.New(code.CallerTimeout, "")
		}
	}
}

// await waits for a result of a step that is run here, or for a time.
func (c *Controller) await(ctx context.Context, id string, d time.Duration) error {
	r := c.runner(id)
	if r == nil {
		return sleep(ctx, d)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.listed():
		return nil
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// results returns the known results from a position on, and reads further ones
// if there are none.
func (c *Controller) results(ctx context.Context, id string, v *stepView, from, total int) ([]durable.Result, error) {
	if r := c.runner(id); r != nil {
		if list := r.resultsFrom(from); len(list) > 0 {
			return list, nil
		}
	}
	v.usedAt.Store(int64(c.o.Clock.Now()))
	select {
	case <-v.turn:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { v.turn <- struct{}{} }()
	if from < len(v.results) || len(v.results) >= total {
		return v.results[min(from, len(v.results)):], nil
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := readResults(call, c.table(id), len(v.results))
	if err != nil {
		return nil, err
	}
	v.results = append(v.results, list...)
	return v.results[min(from, len(v.results)):], nil
}

func answer(total, from int, list []durable.Result) Results {
	size := 0
	for n, r := range list {
		size += len(r.Text)
		if n > 0 && size > answerBytes {
			list = list[:n]
			break
		}
	}
	return Results{Total: total, Next: from + len(list), Results: list}
}

// Body returns the body of a sample of a team's step. It returns
// code.StepUnknown if there is none.
func (c *Controller) Body(ctx context.Context, id, team, sample string) ([]byte, error) {
	s, err := c.lookup(ctx, id, team)
	if err != nil {
		return nil, err
	}
	samples, err := c.samples(ctx, id, s.head)
	if err != nil {
		return nil, code.Wrap(code.StoreDown, err, "")
	}
	for _, sm := range samples {
		if sm.ID == sample {
			return sm.Body, nil
		}
	}
	return nil, code.New(code.StepUnknown, "the step has no such sample")
}

func (c *Controller) samples(ctx context.Context, id string, h head) ([]durable.Sample, error) {
	if r := c.runner(id); r != nil {
		return r.spec.Samples, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return readSamples(ctx, c.table(id), h)
}

// forgetViews drops what was read of steps that nobody asks for any more.
func (c *Controller) forgetViews() {
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, v := range c.views {
		if now-time.Duration(v.usedAt.Load()) > viewTime {
			delete(c.views, id)
		}
	}
}
