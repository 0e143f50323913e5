package usage

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/window"
)

const (
	// shards is the number of counters of a team, so that concurrent requests
	// rarely contend for the same one.
	shards = 16
	// cacheLine is the size in bytes to which each shard is padded, so that two
	// shards don't share a cache line.
	cacheLine = 64
)

// Counter adds up usage by team. It is safe for concurrent use and takes no lock
// for a team that has been counted before.
type Counter struct {
	teams sync.Map // string to *teamCounter
}

type teamCounter [shards]shard

type shard struct {
	requests atomic.Uint64
	tokens   atomic.Uint64
	_        [cacheLine - 16]byte
}

// Add counts a team's usage.
func (c *Counter) Add(team string, requests, tokens uint64) {
	s := &c.team(team)[rand.IntN(shards)]
	s.requests.Add(requests)
	s.tokens.Add(tokens)
}

func (c *Counter) team(team string) *teamCounter {
	if t, ok := c.teams.Load(team); ok {
		return t.(*teamCounter)
	}
	t, _ := c.teams.LoadOrStore(team, new(teamCounter))
	return t.(*teamCounter)
}

// WindowCounter counts requests by the window in which they started to run. It is
// safe for concurrent use.
type WindowCounter struct {
	mu     sync.Mutex
	length int64
	counts map[int64]window.Totals
}

// NewWindowCounter returns a WindowCounter whose windows have the given length in
// seconds.
func NewWindowCounter(length int64) *WindowCounter {
	return &WindowCounter{length: length, counts: map[int64]window.Totals{}}
}

// CountStarted counts a request of a team that started to run at the given
// wall-clock time.
func (w *WindowCounter) CountStarted(team string, at time.Time) {
	start := window.Config{Length: w.length}.Start(at.Unix())
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts[start] == nil {
		w.counts[start] = window.Totals{}
	}
	w.counts[start].Add(team, window.Usage{Requests: 1})
}

// drain returns the usage since the last call, by window.
func (w *WindowCounter) drain() map[int64]window.Totals {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := w.counts
	w.counts = map[int64]window.Totals{}
	return counts
}

// drain returns the usage since the last call.
func (c *Counter) drain() window.Totals {
	totals := window.Totals{}
	c.teams.Range(func(team, t any) bool {
		var u window.Usage
		for i := range t.(*teamCounter) {
			s := &t.(*teamCounter)[i]
			u.Requests += s.requests.Swap(0)
			u.Tokens += s.tokens.Swap(0)
		}
		if u != (window.Usage{}) {
			totals[team.(string)] = u
		}
		return true
	})
	return totals
}
