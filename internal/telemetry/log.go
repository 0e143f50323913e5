package telemetry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// queueLines bounds the number of queued log lines. If warnOnlyLines are
	// queued, only warnings and errors are accepted.
	queueLines    = 4096
	warnOnlyLines = queueLines * 3 / 4
	// queueBytes bounds the memory of the queued lines, because clients choose a part of
	// their text.
	queueBytes = 1 << 20
	// messageRate bounds the lines with the same message per second. The bound
	// for warnings and errors is warnFactor times as high.
	messageRate = 200
	warnFactor  = 4
	// maxMessages bounds the number of messages with separate counts.
	maxMessages = 256
	// dropPeriod is the period of the reports about dropped lines. It also bounds
	// the wait of Close.
	dropPeriod = time.Second
)

// Log writes structured lines in the background. Logging never blocks: if the
// queue is full or the rate of a message exceeds its bound, lines are dropped.
// Dropped lines are counted for each message, and the counts are logged.
type Log struct {
	out     io.Writer
	lines   chan []byte
	scope   tally.Scope
	done    chan struct{}
	stopped chan struct{}

	mu     sync.Mutex
	counts map[string]*messageCounts
	// currentSecond is the second, in Unix time, to which the accepted counts
	// apply.
	currentSecond int64
	queued        atomic.Int64
	// queuedBytes is the size of the queued lines.
	queuedBytes atomic.Int64
}

// messageCounts counts the lines with one message.
type messageCounts struct{ accepted, dropped int }

// NewLog returns a logger that writes JSON lines to out, and a Closer that
// writes the queued lines and stops the background writer.
func NewLog(out io.Writer, scope tally.Scope) (*slog.Logger, io.Closer) {
	l := &Log{
		out: out, scope: scope, lines: make(chan []byte, queueLines),
		done: make(chan struct{}), stopped: make(chan struct{}), counts: map[string]*messageCounts{},
	}
	go l.run()
	return slog.New(&handler{log: l, json: slog.NewJSONHandler(l, nil)}), l
}

// Write queues a copy of a line. It is called by the JSON handler, which reuses
// its buffer.
func (l *Log) Write(p []byte) (int, error) {
	if !l.enqueue(p) {
		l.scope.Counter("log_lines_dropped").Inc(1)
	}
	return len(p), nil
}

// enqueue queues a copy of a line. It reports false if the queue is full.
func (l *Log) enqueue(p []byte) bool {
	n := int64(len(p))
	if l.queuedBytes.Add(n) > queueBytes {
		l.queuedBytes.Add(-n)
		return false
	}
	select {
	case l.lines <- bytes.Clone(p):
		l.queued.Add(1)
		return true
	default:
		l.queuedBytes.Add(-n)
		return false
	}
}

// Close stops the background writer after it has written the queued lines. If
// the output blocks, Close returns after dropPeriod.
func (l *Log) Close() error {
	close(l.done)
	select {
	case <-l.stopped:
	case <-time.After(dropPeriod):
	}
	return nil
}

func (l *Log) run() {
	defer close(l.stopped)
	tick := time.NewTicker(dropPeriod)
	defer tick.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-tick.C:
			l.reportDropped()
		case <-l.done:
			l.drain()
			return
		}
	}
}

func (l *Log) write(line []byte) {
	l.queued.Add(-1)
	l.queuedBytes.Add(-int64(len(line)))
	_, _ = l.out.Write(line) // there is no other output to which an error could be reported
}

func (l *Log) drain() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			return
		}
	}
}

// admit reports whether a line may be queued, and counts it.
func (l *Log) admit(r slog.Record) bool {
	rate, maxQueued := messageRate, int64(warnOnlyLines)
	if r.Level >= slog.LevelWarn {
		rate, maxQueued = messageRate*warnFactor, queueLines
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := r.Time.Unix(); now != l.currentSecond {
		l.currentSecond = now
		for _, c := range l.counts {
			c.accepted = 0
		}
	}
	c := l.countsFor(r.Message)
	if c.accepted >= rate || l.queued.Load() >= maxQueued {
		c.dropped++
		return false
	}
	c.accepted++
	return true
}

// countsFor returns the counts of a message. Once there are counts of
// maxMessages messages, further messages share the counts of "other". The caller
// must hold mu.
func (l *Log) countsFor(message string) *messageCounts {
	if c, ok := l.counts[message]; ok {
		return c
	}
	if len(l.counts) >= maxMessages {
		message = "other"
	}
	c, ok := l.counts[message]
	if !ok {
		c = &messageCounts{}
		l.counts[message] = c
	}
	return c
}

// reportDropped logs and counts the lines dropped since the last call.
func (l *Log) reportDropped() {
	dropped := map[string]int{}
	l.mu.Lock()
	for message, c := range l.counts {
		if c.dropped > 0 {
			dropped[message] = c.dropped
			c.dropped = 0
		}
	}
	l.mu.Unlock()
	if len(dropped) == 0 {
		return
	}
	total := 0
	for _, n := range dropped {
		total += n
	}
	l.scope.Counter("log_lines_dropped").Inc(int64(total))
	slog.New(slog.NewJSONHandler(l.out, nil)).Warn("log lines dropped", "kinds", dropped)
}

// handler drops records that the Log does not admit before they are encoded.
type handler struct {
	log  *Log
	json slog.Handler
}

// Enabled reports whether lines of a level are written.
func (h *handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.json.Enabled(ctx, level)
}

// Handle encodes and queues a record, or drops it.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.log.admit(r) {
		return nil
	}
	return h.json.Handle(ctx, r)
}

// WithAttrs returns a handler that adds the attributes to each line.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{log: h.log, json: h.json.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts further attributes into a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{log: h.log, json: h.json.WithGroup(name)}
}
