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
	// claimTime bounds the calls of one claim together.
	claimTime = 2 * time.Second
	// storeTimeout bounds any other call of the store.
	storeTimeout = 5 * time.Second
	// maxPoll is the longest period between two looks at the generation.
	maxPoll = 5 * time.Second
	// maxClaims bounds the claims under way at a time.
	maxClaims = 256
)

// Options says what a Controller works with.
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
	// Keep is how long IDs are remembered at least.
	Keep time.Duration
}

// Controller claims, records and sweeps.
type Controller struct {
	o        Options
	rows     rows
	owner    string
	claims   chan struct{}
	recorder *recorder
	batcher  *batcher

	mu          sync.Mutex
	generations dedup.Generations
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
		generations: dedup.Generations{Keep: o.Keep},
	}
}

// Run records and sweeps until ctx ends, then records what is left.
func (c *Controller) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.recorder.run(ctx) })
	wg.Go(func() { c.batcher.run(ctx) })
	poll := min(maxPoll, c.o.Keep/8)
	for ctx.Err() == nil {
		if c.wanted() {
			c.follow(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(poll) * (0.8 + 0.4*mrand.Float64()))):
		}
	}
	return nil
}

// wanted reports whether any service is deduplicated.
func (c *Controller) wanted() bool {
	for _, s := range c.o.Views.Load().Config.Services {
		if s.Deduplicate {
			return true
		}
	}
	return false
}

// follow looks at the generation, ends it when it is time, and sweeps if this
// instance is the one to do so. Two that sweep at a time do no harm.
func (c *Controller) follow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := c.newest(ctx); err != nil || !c.sweeps() {
		return
	}
	c.mu.Lock()
	counts := c.generations.Counts()
	c.mu.Unlock()
	n, err := c.rows.sweep(ctx, counts)
	if err != nil {
		c.o.Log.Debug("old request IDs not deleted", "error", err)
		return
	}
	c.o.Scope.Counter("dedup_rows_swept").Inc(int64(n))
}

// sweeps reports whether this instance comes first among the members.
func (c *Controller) sweeps() bool {
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

// newest reads the newest generation, and ends it when it is time.
func (c *Controller) newest(ctx context.Context) (dedup.Generation, error) {
	bump, err := c.saw(ctx)
	if err != nil || bump == nil {
		return c.known(), err
	}
	// However the write ends, the next read shows what holds.
	if err := c.rows.bump(ctx, *bump); err != nil {
		c.o.Log.Debug("generation of request IDs not ended", "error", err)
	}
	_, err = c.saw(ctx)
	return c.known(), err
}

// saw reads the generation and returns the write that is due.
func (c *Controller) saw(ctx context.Context) (*dedup.Bump, error) {
	g, err := c.rows.newest(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	c.generations.Saw(now, g)
	return c.generations.Next(now), nil
}

func (c *Controller) known() dedup.Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generations.Newest()
}

// Claim decides whether a request may run. When it Won, the caller must call
// finish once with what became of it.
func (c *Controller) Claim(ctx context.Context, r dedup.Request) (d dedup.Decision, finish func(dedup.State, *dedup.Answer)) {
	select {
	case c.claims <- struct{}{}:
		defer func() { <-c.claims }()
	default:
		return dedup.Decision{Verdict: dedup.Down}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	row := dedup.Row{Nonce: rand.Text(), Owner: c.owner, Digest: r.Digest, Until: r.Until}
	d = c.decide(ctx, name(r), dedup.NewClaim(row, c.known()))
	if d.Void != nil {
		c.recorder.add(&record{name: name(r), f: dedup.NewVoid(*d.Void)})
	}
	d.Row = d.Row.At(time.Now(), c.gone(d.Row.Owner))
	return d, func(s dedup.State, a *dedup.Answer) {
		row.State, row.Answer = s, a
		c.recorder.add(&record{name: name(r), f: dedup.NewFinish(d.Place, row)})
	}
}

// decide carries a claim's calls out.
func (c *Controller) decide(ctx context.Context, name string, claim *dedup.Claim) dedup.Decision {
	for {
		switch a := claim.Next(c.o.Clock.Now()).(type) {
		case dedup.Decision:
			return a
		case dedup.Write:
			claim.Step(dedup.Wrote{Outcome: c.batcher.write(ctx, name, a)})
		case dedup.Read:
			claim.Step(c.look(ctx, name))
		}
	}
}

func (c *Controller) look(ctx context.Context, name string) any {
	newest, err := c.newest(ctx)
	if err != nil {
		return dedup.ReadFailed{}
	}
	l, err := c.rows.look(ctx, name, newest)
	if err != nil {
		return dedup.ReadFailed{}
	}
	return l
}

// gone reports whether the owner of a row is no member any more.
func (c *Controller) gone(owner string) bool {
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
