package steps

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/durable"
)

const (
	// readPollPeriod is the time between two polls of the store for a waiting
	// caller.
	readPollPeriod = 60 * time.Millisecond
	// viewRetention is how long a stepView is retained after its last use.
	viewRetention = 20 * time.Second
	// maxResponseBytes bounds the total size of the texts in one response, unless a
	// single text is larger.
	maxResponseBytes = 900 << 10
)

// stepView caches what was read of a step's rows. Results never change, so cached
// ones stay valid.
type stepView struct {
	head  head
	ended atomic.Bool
	// usedAt is when the view was last used, in boot time.
	usedAt atomic.Int64

	// readLock contains a token unless a caller reads the store, so that one read
	// serves all waiting callers. The caller that has the token may use results.
	readLock chan struct{}
	results  []durable.Result
}

func newStepView(s state) *stepView {
	v := &stepView{head: s.head, readLock: make(chan struct{}, 1)}
	v.readLock <- struct{}{}
	v.ended.Store(s.ended)
	return v
}

// Results is the response to a read.
type Results struct {
	// Total is the step's number of samples, and Next is the position after the
	// last of Results.
	Total   int
	Next    int
	Results []durable.Result
}

// lookup returns the state of a team's step, without the owner if the step is in
// the cache. It returns code.StepUnknown if the team has no such step, and
// code.StoreDown if the store cannot be read.
func (c *Controller) lookup(ctx context.Context, id, team string) (state, error) {
	c.mu.Lock()
	v := c.views[id]
	c.mu.Unlock()
	if v != nil {
		v.usedAt.Store(int64(c.o.Clock.Now()))
		return state{head: v.head, headVersion: 1, ended: v.ended.Load()}, checkTeam(v.head, team)
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
	if err := checkTeam(s.head, team); err != nil {
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

func checkTeam(h head, team string) error {
	if h.Team != team {
		return code.New(code.StepUnknown, "")
	}
	return nil
}

// Read returns the results of a team's step from a position on. If there are none
// yet, it waits for one.
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
			return limitResults(s.head.Total, from, list), nil
		}
		remaining := until - c.o.Clock.Now()
		if remaining <= 0 || ctx.Err() != nil {
			if err != nil {
				return Results{}, code.Wrap(code.StoreDown, err, "")
			}
			return limitResults(s.head.Total, from, nil), nil
		}
		if c.await(ctx, id, min(remaining, readPollPeriod)) != nil {
			return Results{}, code.New(code.CallerTimeout, "")
		}
	}
}

// await waits for d, or until a new result of a step that this instance runs is
// stored.
func (c *Controller) await(ctx context.Context, id string, d time.Duration) error {
	r := c.runner(id)
	if r == nil {
		return sleep(ctx, d)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.nextResults():
		return nil
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// results returns the results from a position on that are in memory. If there are
// none, it reads further results from the store.
func (c *Controller) results(ctx context.Context, id string, v *stepView, from, total int) ([]durable.Result, error) {
	if r := c.runner(id); r != nil {
		if list := r.resultsFrom(from); len(list) > 0 {
			return list, nil
		}
	}
	v.usedAt.Store(int64(c.o.Clock.Now()))
	select {
	case <-v.readLock:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { v.readLock <- struct{}{} }()
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

// limitResults returns a response with the first results of list, as limited by
// maxResponseBytes.
func limitResults(total, from int, list []durable.Result) Results {
	size := 0
	for n, r := range list {
		size += len(r.Text)
		if n > 0 && size > maxResponseBytes {
			list = list[:n]
			break
		}
	}
	return Results{Total: total, Next: from + len(list), Results: list}
}

// Body returns the body of a sample of a team's step. It returns code.StepUnknown
// if the team has no such step or the step no such sample.
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

// evictViews removes the views of steps that have not been read for viewRetention.
func (c *Controller) evictViews() {
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, v := range c.views {
		if now-time.Duration(v.usedAt.Load()) > viewRetention {
			delete(c.views, id)
		}
	}
}
