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
	// rowPrefix is the prefix of the keys of loss rows, which are stored in the
	// same parts as the rows of instances.
	rowPrefix = "loss/"
	// maxQueue bounds the losses that wait to be written. No loss is written
	// while the table has maxRows loss rows or more, of all instances.
	maxQueue = 256
	maxRows  = 1_000
	// maxBatch is the maximum number of rows per transaction.
	maxBatch = 40
	// callTimeout bounds one call of the table, and retryDelay is the time between
	// two attempts.
	callTimeout = time.Second
	retryDelay  = 200 * time.Millisecond
	// crashRetention and unconfirmedRetention are how long the row of a loss with
	// a confirmed crash, and of any other loss, is kept. They must be at least as
	// long as such a loss counts.
	crashRetention       = 10 * time.Minute
	unconfirmedRetention = time.Minute
	// cleanPeriod is the time between two removals of expired rows.
	cleanPeriod = 30 * time.Second
)

// RowsOptions configures Rows.
type RowsOptions struct {
	// Tables stores the rows, in the same parts as the rows of instances.
	Tables infra.Tables
	// Receiver receives the losses that other instances report.
	Receiver LossTracker
	Views    *view.Store
	Clock    clock.Clock
	Log      *slog.Logger
	Scope    tally.Scope
	// Self is this instance's name. The IDs of its losses start with IDPrefix and a
	// slash.
	Self     string
	IDPrefix string
}

// Rows distributes loss reports as rows of the platform's table. The rows persist
// when the instance that wrote them, or every instance, is replaced.
type Rows struct {
	o RowsOptions
	// current is the part that is written to. After a failed write it is swapped
	// with fallback.
	current, fallback infra.Table
	wakeup            chan struct{}

	mu    sync.Mutex
	queue []queued
	// retracted contains the IDs of losses whose rows must be removed.
	retracted []string
	// observed contains the loss rows in the table as last read, by key.
	observed map[string]observed
}

// queued is a loss that waits to be written.
type queued struct {
	poison.LossReport
	// queuedAt is the time at which Age was computed.
	queuedAt time.Duration
}

// observed is a loss row in the table. The row expires at the time until of this
// instance's clock.
type observed struct {
	crashed bool
	until   time.Duration
}

// row is the value of a row.
type row struct {
	Content       []byte `json:"content"`
	Endpoint      string `json:"endpoint"`
	Incarnation   int64  `json:"incarnation,omitempty"`
	Crashed       bool   `json:"crashed,omitempty"`
	Isolated      bool   `json:"alone,omitempty"`
	AnswerStarted bool   `json:"begun,omitempty"`
	// AgeMs is the time from the loss to the write of the row, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// NewRows returns Rows without losses.
func NewRows(o RowsOptions) *Rows {
	parts := presence.RowParts(o.Self)
	return &Rows{
		o: o, current: o.Tables.Part(parts[0]), fallback: o.Tables.Part(parts[1]),
		wakeup: make(chan struct{}, 1), observed: map[string]observed{},
	}
}

// Report queues a loss that this instance observed, to be written by Run. If the
// queue is full, the oldest queued loss is dropped.
func (c *Rows) Report(r poison.LossReport) {
	c.mu.Lock()
	if len(c.queue) >= maxQueue {
		c.queue = slices.Delete(c.queue, 0, 1)
		c.o.Scope.Counter("losses_not_told").Inc(1)
	}
	c.queue = append(c.queue, queued{r, c.o.Clock.Now()})
	c.mu.Unlock()
	c.wake()
}

// Retract makes Run remove the rows of losses, so that all instances forget
// them. It also removes the losses from the queue.
func (c *Rows) Retract(ids []string) {
	c.mu.Lock()
	c.queue = slices.DeleteFunc(c.queue, func(q queued) bool { return slices.Contains(ids, q.ID) })
	if len(c.retracted) < maxQueue {
		c.retracted = append(c.retracted, ids...)
	}
	c.mu.Unlock()
	c.wake()
}

func (c *Rows) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Run writes losses and removes retracted and expired rows until ctx ends.
func (c *Rows) Run(ctx context.Context) error {
	clean := time.NewTicker(cleanPeriod)
	defer clean.Stop()
	for {
		select {
		case <-c.wakeup:
			c.writeAll(ctx)
			c.removeRetracted(ctx)
		case <-clean.C:
			c.clean(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// writeAll writes all queued losses. It retries until they are written or ctx
// ends.
func (c *Rows) writeAll(ctx context.Context) {
	for ctx.Err() == nil {
		batch := c.dequeue()
		if len(batch) == 0 {
			return
		}
		if err := c.commit(ctx, c.ops(batch)); err != nil {
			c.o.Log.Debug("losses not written", "losses", len(batch), "error", err)
			c.current, c.fallback = c.fallback, c.current
			c.requeue(batch)
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
			}
		}
	}
}

// dequeue removes the next batch of losses from the queue and returns it. If the
// table has too many loss rows, it drops the queue and returns none.
func (c *Rows) dequeue() []queued {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.observed) >= maxRows {
		c.o.Scope.Counter("losses_not_told").Inc(int64(len(c.queue)))
		c.queue = nil
	}
	n := min(len(c.queue), maxBatch)
	batch := c.queue[:n:n]
	c.queue = c.queue[n:]
	return batch
}

// requeue puts a batch whose write failed back at the front of the queue.
func (c *Rows) requeue(batch []queued) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(batch, c.queue...)
}

// ops returns the operations that write a batch, one row per ID. If an ID occurs
// more than once, its last loss is written.
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
		age := q.Age + c.o.Clock.Now() - q.queuedAt
		value, err := json.Marshal(row{
			Content: q.Fingerprint[:], Endpoint: q.Endpoint, Incarnation: q.Incarnation,
			Crashed: q.Crashed, Isolated: q.Isolated, AnswerStarted: q.AnswerStarted, AgeMs: age.Milliseconds(),
		})
		if err != nil {
			c.o.Log.Error("loss report not encoded", "error", err)
			continue
		}
		ops = append(ops, infra.Put(rowPrefix+q.ID, value))
	}
	return ops
}

func (c *Rows) commit(ctx context.Context, ops []infra.Op) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.current.Commit(ctx, ops...)
}

// HandleChanges handles changes of the table: it passes new losses of other
// instances and the IDs of removed losses to the Receiver.
func (c *Rows) HandleChanges(changes infra.Changes) {
	now := c.o.Clock.Now()
	var received []poison.LossReport
	var removed []string
	c.mu.Lock()
	if changes.Complete {
		removed = c.dropMissing(changes.Rows)
	}
	for _, change := range changes.Rows {
		id, ok := strings.CutPrefix(change.Key, rowPrefix)
		if !ok {
			continue
		}
		if change.Removed {
			delete(c.observed, change.Key)
			removed = append(removed, id)
			continue
		}
		if r, ok := c.recordRow(now, id, change); ok {
			received = append(received, r)
		}
	}
	c.mu.Unlock()
	if len(removed) > 0 {
		c.o.Receiver.Forget(removed)
	}
	if len(received) == 0 {
		return
	}
	for _, r := range received {
		c.o.Log.Info("loss report received", "loss", r.ID, "endpoint", r.Endpoint, "content", r.Fingerprint,
			"crashed", r.Crashed, "alone", r.Isolated, "age", r.Age)
	}
	c.o.Receiver.HandleReports(received)
}

// dropMissing drops the observed rows that are not in all, the complete list of
// rows in the table, and returns the IDs of their losses. The caller must hold
// mu.
func (c *Rows) dropMissing(all []infra.Change) []string {
	exists := map[string]bool{}
	for _, change := range all {
		exists[change.Key] = !change.Removed
	}
	var ids []string
	for key := range c.observed {
		if !exists[key] {
			delete(c.observed, key)
			ids = append(ids, strings.TrimPrefix(key, rowPrefix))
		}
	}
	return ids
}

// recordRow records a row. It returns the row's loss, and true if the loss is new
// or newly confirmed as a crash and was written by another instance. The caller
// must hold mu.
func (c *Rows) recordRow(now time.Duration, id string, change infra.Change) (poison.LossReport, bool) {
	r, err := decode(id, change.Value)
	if err != nil {
		c.o.Log.Warn("loss row not decoded", "row", change.Key, "error", err)
		c.observed[change.Key] = observed{until: now + unconfirmedRetention}
		return poison.LossReport{}, false
	}
	old, exists := c.observed[change.Key]
	if exists && old.crashed == r.Crashed {
		return poison.LossReport{}, false
	}
	retention := unconfirmedRetention
	if r.Crashed {
		retention = crashRetention
	}
	c.observed[change.Key] = observed{crashed: r.Crashed, until: now - r.Age + retention}
	return r, !strings.HasPrefix(id, c.o.IDPrefix+"/")
}

var errContent = errors.New("content is not a complete fingerprint")

func decode(id string, value []byte) (poison.LossReport, error) {
	var wire row
	if err := json.Unmarshal(value, &wire); err != nil {
		return poison.LossReport{}, err
	}
	r := poison.LossReport{
		ID: id, Endpoint: wire.Endpoint, Incarnation: wire.Incarnation,
		Crashed: wire.Crashed, Isolated: wire.Isolated, AnswerStarted: wire.AnswerStarted,
		Age: time.Duration(max(wire.AgeMs, 0)) * time.Millisecond,
	}
	if copy(r.Fingerprint[:], wire.Content) != len(r.Fingerprint) {
		return poison.LossReport{}, errContent
	}
	return r, nil
}

// clean removes a batch of expired rows, also those of other instances. Only the
// live instance whose name comes first does this.
func (c *Rows) clean(ctx context.Context) {
	for name := range c.o.Views.Load().Members {
		if name < c.o.Self {
			return
		}
	}
	now := c.o.Clock.Now()
	var expired []string
	c.mu.Lock()
	for key, loss := range c.observed {
		if now >= loss.until && len(expired) < maxBatch {
			expired = append(expired, strings.TrimPrefix(key, rowPrefix))
		}
	}
	c.mu.Unlock()
	c.removeRows(ctx, expired)
}

// removeRetracted removes the rows of retracted losses.
func (c *Rows) removeRetracted(ctx context.Context) {
	c.mu.Lock()
	ids := c.retracted
	c.retracted = nil
	c.mu.Unlock()
	c.removeRows(ctx, ids)
}

// removeRows removes the rows of losses, by ID, from both parts that may contain
// them. Rows that it fails to remove are removed by clean after they expire.
func (c *Rows) removeRows(ctx context.Context, ids []string) {
	byWriter := map[string][]infra.Op{}
	for _, id := range ids {
		writer, _, _ := strings.Cut(id, "/")
		byWriter[writer] = append(byWriter[writer], infra.Delete(rowPrefix+id))
	}
	for writer, ops := range byWriter {
		for _, part := range presence.RowParts(writer) {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			err := c.o.Tables.Part(part).Commit(call, ops...)
			cancel()
			if err != nil {
				c.o.Log.Debug("loss rows not removed", "rows", len(ops), "error", err)
			}
		}
	}
}
