package steps

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
)

const (
	// readPollPeriod is the time between two polls of the store for a waiting
	// caller.
	readPollPeriod = 60 * time.Millisecond
	// cacheRetention is how long a cachedStep is retained after its last use.
	cacheRetention = 20 * time.Second
	// maxResponseBytes bounds the total size of the texts in one response, unless a
	// single text is larger.
	maxResponseBytes = 900 << 10
)

// cachedStep contains what was read of a step's rows. Results never change, so
// cached ones stay valid.
type cachedStep struct {
	head  head
	ended atomic.Bool
	// usedAt is when the cachedStep was last used, in boot time.
	usedAt atomic.Int64

	// readLock contains a token unless a caller reads the store, so that one read
	// serves all waiting callers. The caller that has the token may use results.
	readLock chan struct{}
	results  []durable.Result
}

func newCachedStep(s state) *cachedStep {
	cached := &cachedStep{head: s.head, readLock: make(chan struct{}, 1)}
	cached.readLock <- struct{}{}
	cached.ended.Store(s.ended)
	return cached
}

// Results is the response to a read.
type Results struct {
	// Total is the step's number of samples, and Next is the position after the
	// last of Results.
	Total   int
	Next    int
	Results []durable.Result
}

// lookup returns the state of a step that the team may use, without the owner if the
// step is in the cache. It returns code.StepUnknown if there is none, code.KeyMissing
// if there is none and the team is empty, and code.StoreDown if the store cannot be
// read.
func (c *Controller) lookup(ctx context.Context, id, team string) (state, error) {
	ctx = infra.WithClass(ctx, infra.ClassBulk)
	c.mu.Lock()
	cached := c.cachedSteps[id]
	c.mu.Unlock()
	if cached != nil {
		cached.usedAt.Store(int64(c.o.Clock.Now()))
		return state{head: cached.head, headVersion: 1, ended: cached.ended.Load()}, checkTeam(cached.head, team)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := readState(call, c.table(id))
	switch {
	case err != nil:
		return state{}, code.Wrap(code.StoreDown, err, "")
	case !s.accepted():
		return state{}, noSuchStep(team)
	}
	if err := checkTeam(s.head, team); err != nil {
		return state{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cachedSteps[id] == nil {
		c.cachedSteps[id] = newCachedStep(s)
	}
	c.cachedSteps[id].usedAt.Store(int64(c.o.Clock.Now()))
	return s, nil
}

// checkTeam returns an error unless a team may use a step. A step of an open route
// belongs to no team, and every caller may use it.
func checkTeam(h head, team string) error {
	if h.Team == "" || h.Team == team {
		return nil
	}
	return noSuchStep(team)
}

// noSuchStep returns the error for a step that is not one of the team's. A caller
// without a key has no team, and must not learn which steps exist.
func noSuchStep(team string) error {
	if team == "" {
		return code.New(code.KeyMissing, "")
	}
	return code.New(code.StepUnknown, "")
}

// Read returns the results of a team's step from a position on. If there are none
// yet, it waits for one.
func (c *Controller) Read(ctx context.Context, id, team string, from int, wait time.Duration) (Results, error) {
	s, err := c.lookup(ctx, id, team)
	if err != nil {
		return Results{}, err
	}
	c.mu.Lock()
	cached := c.cachedSteps[id]
	c.mu.Unlock()
	if cached == nil {
		return Results{}, code.New(code.StoreDown, "forgotten meanwhile")
	}
	until := c.o.Clock.Now() + wait
	for {
		list, err := c.results(ctx, id, cached, from, s.head.Total)
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
// none, it reads further results from the store, up to one at the position.
func (c *Controller) results(ctx context.Context, id string, cached *cachedStep, from, total int) ([]durable.Result, error) {
	ctx = infra.WithClass(ctx, infra.ClassBulk)
	if r := c.runner(id); r != nil {
		if list := r.resultsFrom(from); len(list) > 0 {
			return list, nil
		}
	}
	cached.usedAt.Store(int64(c.o.Clock.Now()))
	select {
	case <-cached.readLock:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { cached.readLock <- struct{}{} }()
	for len(cached.results) <= from && len(cached.results) < total {
		list, err := readResults(ctx, c.table(id), len(cached.results))
		if err != nil {
			return nil, err
		}
		if len(list) == 0 {
			break
		}
		cached.results = append(cached.results, list...)
	}
	return cached.results[min(from, len(cached.results)):], nil
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
	sm, found, err := c.sample(ctx, id, s.head, sample)
	switch {
	case err != nil:
		return nil, code.Wrap(code.StoreDown, err, "")
	case !found:
		return nil, code.New(code.StepUnknown, "the step has no such sample")
	}
	return sm.Body, nil
}

// sample returns a sample of a step, from memory if the step runs here.
func (c *Controller) sample(ctx context.Context, id string, h head, sample string) (durable.Sample, bool, error) {
	r := c.runner(id)
	if r == nil {
		return findSample(infra.WithClass(ctx, infra.ClassBulk), c.table(id), h, sample)
	}
	i := slices.IndexFunc(r.spec.Samples, func(s durable.Sample) bool { return s.ID == sample })
	if i < 0 {
		return durable.Sample{}, false, nil
	}
	return r.spec.Samples[i], true, nil
}

// evictCachedSteps removes the steps from the cache that have not been read for
// cacheRetention.
func (c *Controller) evictCachedSteps() {
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, cached := range c.cachedSteps {
		if now-time.Duration(cached.usedAt.Load()) > cacheRetention {
			delete(c.cachedSteps, id)
		}
	}
}
