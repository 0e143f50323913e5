package telemetry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// queueLines bounds the log lines that wait to be written, and urgentLines
	// the number from which on only warnings and errors are taken.
	queueLines  = 4096
	urgentLines = queueLines * 3 / 4
	// kindRate bounds the lines of one kind, that is of one message, a second.
	// Warnings and errors get warnFactor times as many.
	kindRate   = 200
	warnFactor = 4
	// maxKinds bounds the kinds that are counted one by one.
	maxKinds = 256
	// dropPeriod is the time between two lines about dropped ones.
	dropPeriod = time.Second
)

// Log writes structured lines in the background. Logging never blocks: when its
// queue is full or a kind of line comes too often, lines are dropped, counted
// by kind, and the counts are logged.
type Log struct {
	out   io.Writer
	lines chan []byte
	scope tally.Scope
	done  chan struct{}
	ended chan struct{}

	mu    sync.Mutex
	kinds map[string]*kind
	// second is the one that the counts of kinds are about, in Unix time.
	second int64
	queued atomic.Int64
}

// kind counts the lines of one message.
type kind struct{ taken, dropped int }

// NewLog returns a logger that writes JSON lines to out, and what closes it,
// which writes what is left.
func NewLog(out io.Writer, scope tally.Scope) (*slog.Logger, io.Closer) {
	l := &Log{
		out: out, scope: scope, lines: make(chan []byte, queueLines),
		done: make(chan struct{}), ended: make(chan struct{}), kinds: map[string]*kind{},
	}
	go l.run()
	return slog.New(&handler{log: l, json: slog.NewJSONHandler(l, nil)}), l
}

// Write queues a line. It is called by the JSON handler, whose buffer is used
// again.
func (l *Log) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case l.lines <- line:
		l.queued.Add(1)
	default:
		l.scope.Counter("log_lines_dropped").Inc(1)
	}
	return len(p), nil
}

// Close writes what is left, unless nobody reads, and ends the writer.
func (l *Log) Close() error {
	close(l.done)
	select {
	case <-l.ended:
	case <-time.After(dropPeriod):
	}
	return nil
}

func (l *Log) run() {
	defer close(l.ended)
	tick := time.NewTicker(dropPeriod)
	defer tick.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-tick.C:
			l.tellDropped()
		case <-l.done:
			l.drain()
			return
		}
	}
}

func (l *Log) write(line []byte) {
	l.queued.Add(-1)
	_, _ = l.out.Write(line) // there is nowhere to report that a log can't be written
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

// take reports whether a line may be queued.
func (l *Log) take(r slog.Record) bool {
	rate, most := kindRate, int64(urgentLines)
	if r.Level >= slog.LevelWarn {
		rate, most = kindRate*warnFactor, queueLines
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := r.Time.Unix(); now != l.second {
		l.second = now
		for _, k := range l.kinds {
			k.taken = 0
		}
	}
	k := l.kind(r.Message)
	if k.taken >= rate || l.queued.Load() >= most {
		k.dropped++
		return false
	}
	k.taken++
	return true
}

// kind needs mu.
func (l *Log) kind(message string) *kind {
	if k, ok := l.kinds[message]; ok {
		return k
	}
	if len(l.kinds) >= maxKinds {
		message = "other"
	}
	k, ok := l.kinds[message]
	if !ok {
		k = &kind{}
		l.kinds[message] = k
	}
	return k
}

// tellDropped logs and counts what was dropped since the last call.
func (l *Log) tellDropped() {
	dropped := map[string]int{}
	l.mu.Lock()
	for message, k := range l.kinds {
		if k.dropped > 0 {
			dropped[message] = k.dropped
			k.dropped = 0
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

// handler asks the Log about each record before it is encoded.
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
	if !h.log.take(r) {
		return nil
	}
	return h.json.Handle(ctx, r)
}

// WithAttrs returns a handler whose lines have more attributes.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{log: h.log, json: h.json.WithAttrs(attrs)}
}

// WithGroup returns a handler whose further attributes are in a group.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{log: h.log, json: h.json.WithGroup(name)}
}
