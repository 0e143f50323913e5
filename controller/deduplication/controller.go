package deduplication

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"math"
	mrand "math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/dedup"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

const (
	// claimTimeout bounds all store calls of one claim together.
	claimTimeout = 2 * time.Second
	// storeTimeout bounds any other store call.
	storeTimeout = 5 * time.Second
	// maxPoll is the maximum period between two polls of the generation.
	maxPoll = 5 * time.Second
	// maxClaims is the maximum number of concurrent claims.
	maxClaims = 256
)

// Options are the settings and dependencies of a Controller.
type Options struct {
	Table infra.Table
	Views *view.Store
	Clock clock.Clock
	Log   *slog.Logger
	Scope tally.Scope
	// Self is this instance's name. Incarnation must differ from that of every
	// earlier process of this name.
	Self        string
	Incarnation uint64
	// Keep is the minimum time for which request IDs are stored.
	Keep time.Duration
}

// Controller claims rows for requests, records the outcomes of the requests, and
// deletes expired rows.
type Controller struct {
	o        Options
	rows     rows
	owner    string
	claims   chan struct{}
	recorder *recorder
	batcher  *batcher

	mu          sync.Mutex
	generations dedup.GenerationTracker
}

// New returns a Controller.
func New(o Options) *Controller {
	r := rows{table: o.Table}
	return &Controller{
		o:           o,
		rows:        r,
		owner:       fmt.Sprintf("%s/%d", o.Self, o.Incarnation),
		claims:      make(chan struct{}, maxClaims),
		recorder:    newRecorder(r, o),
		batcher:     newBatcher(r),
		generations: dedup.GenerationTracker{Keep: o.Keep},
	}
}

// Run writes queued claims and records, and deletes expired rows, until ctx ends.
// It then writes the remaining records.
func (c *Controller) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.recorder.run(ctx) })
	wg.Go(func() { c.batcher.run(ctx) })
	poll := min(maxPoll, c.o.Keep/8)
	for ctx.Err() == nil {
		if c.enabled() {
			c.maintain(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(poll) * (0.8 + 0.4*mrand.Float64()))):
		}
	}
	return nil
}

// enabled reports whether any service is deduplicated.
func (c *Controller) enabled() bool {
	for _, s := range c.o.Views.Load().Config.Services {
		if s.Deduplicate {
			return true
		}
	}
	return false
}

// maintain reads the generation, advances it when due, and deletes expired rows
// if this instance is the sweeper. It does no harm if two instances delete rows
// at the same time.
func (c *Controller) maintain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := c.refreshGeneration(ctx); err != nil || !c.isSweeper() {
		return
	}
	c.mu.Lock()
	oldest := c.generations.OldestValid()
	c.mu.Unlock()
	n, err := c.rows.sweep(ctx, oldest)
	if err != nil {
		c.o.Log.Debug("failed to delete rows of expired request IDs", "error", err)
		return
	}
	c.o.Scope.Counter("dedup_rows_swept").Inc(int64(n))
}

// isSweeper reports whether this instance ranks first among the members that are
// not leaving, and therefore deletes expired rows.
func (c *Controller) isSweeper() bool {
	var names []string
	for _, m := range c.o.Views.Load().Members {
		if !m.Leaving {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	ranked := leases.Rank(leases.Duty{Name: "dedup"}, names)
	return len(ranked) == 0 || ranked[0] == c.o.Self
}

// refreshGeneration reads the newest generation, advances it when due, and
// returns the newest one.
func (c *Controller) refreshGeneration(ctx context.Context) (dedup.Generation, error) {
	advance, err := c.observeGeneration(ctx)
	if err != nil || advance == nil {
		return c.cachedGeneration(), err
	}
	// The next read shows the result, whatever the outcome of this write.
	if err := c.rows.advance(ctx, *advance); err != nil {
		c.o.Log.Debug("failed to advance the generation of request IDs", "error", err)
	}
	_, err = c.observeGeneration(ctx)
	return c.cachedGeneration(), err
}

// observeGeneration reads the generation and returns the write that advances it,
// or nil if none is due.
func (c *Controller) observeGeneration(ctx context.Context) (*dedup.AdvanceGeneration, error) {
	g, err := c.rows.generation(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	c.generations.Observe(now, g)
	return c.generations.Next(now), nil
}

// cachedGeneration returns the newest generation that was read so far.
func (c *Controller) cachedGeneration() dedup.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generations.Newest()
}

// Claim decides whether a request may run. If the verdict is dedup.Acquired, the
// caller must call finish once with the request's outcome.
func (c *Controller) Claim(ctx context.Context, r dedup.Request) (d dedup.Decision, finish func(dedup.State, *dedup.Answer)) {
	select {
	case c.claims <- struct{}{}:
		defer func() { <-c.claims }()
	default:
		return dedup.Decision{Verdict: dedup.Unavailable}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row := dedup.Row{Nonce: rand.Text(), Owner: c.owner, Digest: r.Digest, Until: r.Until}
	d = c.decide(ctx, requestName(r), dedup.NewClaim(row, c.cachedGeneration()))
	if d.Uncertain != nil {
		c.recorder.add(&record{name: requestName(r), finish: dedup.NewRelease(*d.Uncertain)})
	}
	d.Row = d.Row.ReportedAt(time.Now(), c.ownerDown(d.Row.Owner))
	return d, func(s dedup.State, a *dedup.Answer) {
		row.State, row.Answer = s, a
		c.recorder.add(&record{name: requestName(r), finish: dedup.NewFinish(d.Position, row)})
	}
}

// decide performs the calls of a claim until it reaches a decision.
func (c *Controller) decide(ctx context.Context, name string, claim *dedup.Claim) dedup.Decision {
	for {
		switch call := claim.Next(c.o.Clock.Now()).(type) {
		case dedup.Decision:
			return call
		case dedup.Write:
			claim.Step(dedup.WriteResult{Outcome: c.batcher.write(ctx, name, call)})
		case dedup.Read:
			claim.Step(c.readRows(ctx, name))
		}
	}
}

// readRows returns the result of a dedup.Read.
func (c *Controller) readRows(ctx context.Context, name string) any {
	newest, err := c.refreshGeneration(ctx)
	if err != nil {
		return dedup.ReadFailed{}
	}
	result, err := c.rows.readRows(ctx, name, newest)
	if err != nil {
		return dedup.ReadFailed{}
	}
	return result
}

// ownerDown reports whether the process that owns a row has terminated: its
// instance is not a member, or is a member with a higher incarnation.
func (c *Controller) ownerDown(owner string) bool {
	i := strings.LastIndexByte(owner, '/')
	if i < 0 || owner == c.owner {
		return false
	}
	m, ok := c.o.Views.Load().Members[owner[:i]]
	incarnation, err := strconv.ParseUint(owner[i+1:], 10, 64)
	if err != nil {
		incarnation = math.MaxUint64
	}
	return !ok || m.Incarnation > incarnation
}
