package suspects

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/controller/presence"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/poison"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

const (
	// prefix begins the keys of the rows, which lie beside those of instances.
	prefix = "loss/"
	// maxQueue bounds the losses that wait to be written, and maxRows the rows
	// of all instances beyond which none is written.
	maxQueue = 256
	maxRows  = 1_000
	// maxBatch is the number of rows of one transaction.
	maxBatch = 40
	// callTimeout bounds one call of the table, and retryPause the time between
	// two tries.
	callTimeout = time.Second
	retryPause  = 200 * time.Millisecond
	// keepCrash and keepUnconfirmed are how long a row is kept: at least as long as
	// what it tells counts.
	keepCrash       = 10 * time.Minute
	keepUnconfirmed = time.Minute
	// cleanPeriod is the time between two looks for rows to remove.
	cleanPeriod = 30 * time.Second
)

// RowsOptions says what Rows work with.
type RowsOptions struct {
	// Tables holds the rows, in the parts of those of instances.
	Tables infra.Tables
	Hearer Forgetter
	Views  *view.Store
	Clock  clock.Clock
	Log    *slog.Logger
	Scope  tally.Scope
	// Self is this instance's name, and Instance the beginning of the IDs of its
	// losses.
	Self     string
	Instance string
}

// Rows tells other instances of losses by rows of the platform's table, which
// outlive the instance that wrote them, and all instances together.
type Rows struct {
	o RowsOptions
	// home is the part that is written now, and other the one for when that
	// fails.
	home, other infra.Table
	kick        chan struct{}

	mu    sync.Mutex
	queue []queued
	// remove holds the IDs of losses whose rows are to be removed.
	remove []string
	// known holds the rows there are, by key.
	known map[string]known
}

// queued is a loss that is to be written.
type queued struct {
	poison.Rumour
	// at is when its age was right.
	at time.Duration
}

// known is a row and until when it is kept, by this instance's clock.
type known struct {
	crashed bool
	until   time.Duration
}

// row is the value of a row.
type row struct {
	Content     []byte `json:"content"`
	Endpoint    string `json:"endpoint"`
	Incarnation int64  `json:"incarnation,omitempty"`
	Crashed     bool   `json:"crashed,omitempty"`
	Alone       bool   `json:"alone,omitempty"`
	Begun       bool   `json:"begun,omitempty"`
	// AgeMs is how long ago the loss was when the row was written.
	AgeMs int64 `json:"age_ms"`
}

// NewRows returns Rows that know of none.
func NewRows(o RowsOptions) *Rows {
	homes := presence.Homes(o.Self)
	return &Rows{
		o: o, home: o.Tables.Part(homes[0]), other: o.Tables.Part(homes[1]),
		kick: make(chan struct{}, 1), known: map[string]known{},
	}
}

// Tell has a loss of this instance written. The oldest one that waits is dropped
// when there are too many.
func (c *Rows) Tell(r poison.Rumour) {
	c.mu.Lock()
	if len(c.queue) >= maxQueue {
		c.queue = slices.Delete(c.queue, 0, 1)
		c.o.Scope.Counter("losses_not_told").Inc(1)
	}
	c.queue = append(c.queue, queued{r, c.o.Clock.Now()})
	c.mu.Unlock()
	c.wake()
}

// Retract has the rows of losses removed, so that all forget them.
func (c *Rows) Retract(ids []string) {
	c.mu.Lock()
	c.queue = slices.DeleteFunc(c.queue, func(q queued) bool { return slices.Contains(ids, q.ID) })
	if len(c.remove) < maxQueue {
		c.remove = append(c.remove, ids...)
	}
	c.mu.Unlock()
	c.wake()
}

func (c *Rows) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run writes losses and removes old rows until ctx ends.
func (c *Rows) Run(ctx context.Context) error {
	clean := time.NewTicker(cleanPeriod)
	defer clean.Stop()
	for {
		select {
		case <-c.kick:
			c.writeAll(ctx)
			c.removeRetracted(ctx)
		case <-clean.C:
			c.clean(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// writeAll writes what is queued, for as long as it takes.
func (c *Rows) writeAll(ctx context.Context) {
	for ctx.Err() == nil {
		batch := c.take()
		if len(batch) == 0 {
			return
		}
		if err := c.commit(ctx, c.ops(batch)); err != nil {
			c.o.Log.Debug("losses not written", "losses", len(batch), "error", err)
			c.home, c.other = c.other, c.home
			c.putBack(batch)
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
		}
	}
}

// take takes the next losses from the queue, none while there are too many rows.
func (c *Rows) take() []queued {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.known) >= maxRows {
		c.o.Scope.Counter("losses_not_told").Inc(int64(len(c.queue)))
		c.queue = nil
	}
	n := min(len(c.queue), maxBatch)
	batch := c.queue[:n:n]
	c.queue = c.queue[n:]
	return batch
}

func (c *Rows) putBack(batch []queued) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(batch, c.queue...)
}

// ops puts each loss into a row, the last one of an ID.
func (c *Rows) ops(batch []queued) []infra.Op {
	last := map[string]int{}
	for i, q := range batch {
		last[q.ID] = i
	}
	var ops []infra.Op
	for i, q := range batch {
		if last[q.ID] != i {
			continue
		}
		age := q.Age + c.o.Clock.Now() - q.at
		value, err := json.Marshal(row{
			Content: q.Fingerprint[:], Endpoint: q.Endpoint, Incarnation: q.Incarnation,
			Crashed: q.Crashed, Alone: q.Alone, Begun: q.Begun, AgeMs: age.Milliseconds(),
		})
		if err != nil {
			c.o.Log.Error("loss not encoded", "error", err)
			continue
		}
		ops = append(ops, infra.Put(prefix+q.ID, value))
	}
	return ops
}

func (c *Rows) commit(ctx context.Context, ops []infra.Op) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.home.Commit(ctx, ops...)
}

// Follow hears the losses of other instances in what was written to the table.
func (c *Rows) Follow(changes infra.Changes) {
	now := c.o.Clock.Now()
	var news []poison.Rumour
	var gone []string
	c.mu.Lock()
	if changes.Whole {
		gone = c.missing(changes.Rows)
	}
	for _, change := range changes.Rows {
		id, ok := strings.CutPrefix(change.Key, prefix)
		if !ok {
			continue
		}
		if change.Removed {
			delete(c.known, change.Key)
			gone = append(gone, id)
			continue
		}
		if r, ok := c.note(now, id, change); ok {
			news = append(news, r)
		}
	}
	c.mu.Unlock()
	if len(gone) > 0 {
		c.o.Hearer.Forget(gone)
	}
	if len(news) == 0 {
		return
	}
	for _, r := range news {
		c.o.Log.Info("loss heard", "loss", r.ID, "endpoint", r.Endpoint, "content", r.Fingerprint,
			"crashed", r.Crashed, "alone", r.Alone, "age", r.Age)
	}
	c.o.Hearer.Hear(news)
}

// missing forgets the rows that are not among all there are, and returns the IDs
// of their losses.
func (c *Rows) missing(all []infra.Change) []string {
	there := map[string]bool{}
	for _, change := range all {
		there[change.Key] = !change.Removed
	}
	var ids []string
	for key := range c.known {
		if !there[key] {
			delete(c.known, key)
			ids = append(ids, strings.TrimPrefix(key, prefix))
		}
	}
	return ids
}

// note notes a row, and returns what it tells if that is news from elsewhere.
func (c *Rows) note(now time.Duration, id string, change infra.Change) (poison.Rumour, bool) {
	r, err := decode(id, change.Value)
	if err != nil {
		c.o.Log.Warn("row of a loss is unreadable", "row", change.Key, "error", err)
		c.known[change.Key] = known{until: now + keepUnconfirmed}
		return poison.Rumour{}, false
	}
	old, there := c.known[change.Key]
	if there && old.crashed == r.Crashed {
		return poison.Rumour{}, false
	}
	keep := keepUnconfirmed
	if r.Crashed {
		keep = keepCrash
	}
	c.known[change.Key] = known{crashed: r.Crashed, until: now - r.Age + keep}
	return r, !strings.HasPrefix(id, c.o.Instance+"/")
}

var errContent = errors.New("content is no fingerprint")

func decode(id string, value []byte) (poison.Rumour, error) {
	var wire row
	if err := json.Unmarshal(value, &wire); err != nil {
		return poison.Rumour{}, err
	}
	r := poison.Rumour{
		ID: id, Endpoint: wire.Endpoint, Incarnation: wire.Incarnation,
		Crashed: wire.Crashed, Alone: wire.Alone, Begun: wire.Begun,
		Age: time.Duration(max(wire.AgeMs, 0)) * time.Millisecond,
	}
	if copy(r.Fingerprint[:], wire.Content) != len(r.Fingerprint) {
		return poison.Rumour{}, errContent
	}
	return r, nil
}

// clean removes rows that are no longer of use. The living instance whose name
// comes first does it for all.
func (c *Rows) clean(ctx context.Context) {
	for name := range c.o.Views.Load().Members {
		if name < c.o.Self {
			return
		}
	}
	now := c.o.Clock.Now()
	var old []string
	c.mu.Lock()
	for key, k := range c.known {
		if now >= k.until && len(old) < maxBatch {
			old = append(old, strings.TrimPrefix(key, prefix))
		}
	}
	c.mu.Unlock()
	c.removeRows(ctx, old)
}

// removeRetracted removes the rows of losses that are to be forgotten.
func (c *Rows) removeRetracted(ctx context.Context) {
	c.mu.Lock()
	ids := c.remove
	c.remove = nil
	c.mu.Unlock()
	c.removeRows(ctx, ids)
}

// removeRows removes rows by the IDs of their losses, from both parts that they
// may lie in. What fails is left to clean.
func (c *Rows) removeRows(ctx context.Context, ids []string) {
	byWriter := map[string][]infra.Op{}
	for _, id := range ids {
		writer, _, _ := strings.Cut(id, "/")
		byWriter[writer] = append(byWriter[writer], infra.Delete(prefix+id))
	}
	for writer, ops := range byWriter {
		for _, part := range presence.Homes(writer) {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			err := c.o.Tables.Part(part).Commit(call, ops...)
			cancel()
			if err != nil {
				c.o.Log.Debug("rows of losses not removed", "rows", len(ops), "error", err)
			}
		}
	}
}
