package usage

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/window"
)

const (
	// maxSteps bounds the calls that one run of seal makes for the Sealer.
	maxSteps = 256
	// finalFlushTimeout bounds the flush at shutdown.
	finalFlushTimeout = 5 * time.Second
	// keepWindows is the number of closed windows whose parts, the rows with the
	// totals of each instance, are kept.
	keepWindows = 60
)

// Options configures a Controller.
type Options struct {
	Reports infra.UsageReports
	Leases  *leases.Manager
	// Holder is this instance's name. Incarnation must differ from that of
	// every earlier process of this name.
	Holder      string
	Incarnation uint64
	Log         *slog.Logger
	Metrics     tally.Scope
	// Window is the length of a window, in whole seconds.
	Window time.Duration
	// Flush is the period between two writes of this instance's totals.
	Flush time.Duration
	// StoreAvailableFor, if set, returns how long the store has been available to
	// this instance without an outage. If nil, the calls for the duty's lease tell.
	StoreAvailableFor func() time.Duration
	// Grace is how long after its end a window is closed. Zero means the time of
	// two flushes and one second.
	Grace time.Duration
}

// Controller flushes the totals of this instance. While it holds the duty, it also
// seals and reports windows.
type Controller struct {
	o       Options
	counter *Counter
	windows *WindowCounter
	cfg     window.Config
	rows    rows
	tally   *window.Tally
	sealer  *window.Sealer
	duty    *leases.Runner
	sent    sentWindows

	unwritten tally.Gauge
	lost      tally.Gauge
	late      tally.Counter
	reports   tally.Counter
	failed    tally.Counter
}

// New returns a Controller.
func New(o Options) *Controller {
	length := max(int64(o.Window/time.Second), 1)
	// By default a window is closed after the instances had time to flush twice.
	grace := int64(2*o.Flush/time.Second) + 1
	if o.Grace > 0 {
		grace = int64(o.Grace / time.Second)
	}
	cfg := window.Config{Length: length, Grace: grace, Keep: keepWindows}
	return &Controller{
		o:         o,
		counter:   &Counter{},
		windows:   NewWindowCounter(length),
		cfg:       cfg,
		rows:      rows{part: fmt.Sprintf("%s/%d", o.Holder, o.Incarnation)},
		tally:     window.NewTally(cfg.Start(time.Now().Unix())),
		sealer:    window.NewSealer(cfg),
		duty:      o.Leases.Runner(leases.Duty{Name: leases.Usage}),
		sent:      sentWindows{},
		unwritten: o.Metrics.Gauge("usage_tokens_unwritten"),
		lost:      o.Metrics.Gauge("usage_tokens_lost"),
		late:      o.Metrics.Counter("usage_tokens_late"),
		reports:   o.Metrics.Counter("usage_reports"),
		failed:    o.Metrics.Counter("usage_calls_failed"),
	}
}

// Counter returns the Counter in which the request path counts usage.
func (c *Controller) Counter() *Counter { return c.counter }

// Windows returns the WindowCounter in which requests are counted by their start
// time.
func (c *Controller) Windows() *WindowCounter { return c.windows }

// Run flushes and seals until ctx ends, then flushes once more.
func (c *Controller) Run(ctx context.Context) error {
	t := time.NewTicker(c.o.Flush)
	defer t.Stop()
	for ctx.Err() == nil {
		c.flush(ctx)
		c.seal(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	c.flush(flushCtx)
	if unwritten := c.tally.Unwritten(); unwritten.Requests > 0 {
		c.o.Log.Warn("usage lost at shutdown", "requests", unwritten.Requests, "tokens", unwritten.Tokens)
	}
	return nil
}

// flush writes this instance's totals.
func (c *Controller) flush(ctx context.Context) {
	c.tally.Flush(c.cfg.Start(time.Now().Unix()))
	for team, u := range c.counter.drain() {
		c.tally.Add(team, u)
	}
	for w, totals := range c.windows.drain() {
		for team, u := range totals {
			c.tally.AddTo(w, team, u)
		}
	}
	for a := c.tally.Next(); a != nil; a = c.tally.Next() {
		c.tally.Step(c.tallyCall(ctx, a))
	}
	c.unwritten.Update(float64(c.tally.Unwritten().Tokens))
	c.lost.Update(float64(c.tally.Lost().Tokens))
}

func (c *Controller) tallyCall(ctx context.Context, a any) any {
	ctx, cancel := context.WithTimeout(ctx, max(c.o.Flush, time.Second))
	defer cancel()
	if up, ok := a.(window.Upsert); ok {
		return window.Upserted{Outcome: c.recordOutcome("flush", c.duty.Table().Commit(ctx, c.rows.upsert(up)...))}
	}
	read, err := c.rows.readPart(ctx, c.duty.Table(), a.(window.ReadPart).Window)
	if err != nil {
		c.recordOutcome("read part", err)
		return window.ReadFailed{}
	}
	return read
}

// recordOutcome returns what is certain about the effect of a call that returned
// err. It counts and logs the call if it failed.
func (c *Controller) recordOutcome(call string, err error) effect.Outcome {
	o := leases.EffectOf(err)
	if o == effect.None || o == effect.Unknown {
		c.failed.Inc(1)
		c.o.Log.Debug("usage call failed", "call", call, "error", err)
	}
	return o
}
