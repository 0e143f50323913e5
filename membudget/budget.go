package membudget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/clock"
)

// Options configures New.
type Options struct {
	// Total is the memory of all holds, in bytes, and Reserve the part of it that
	// only holds of up to SmallBytes use.
	Total, Reserve int64
	Clock          clock.Clock
	// Collect, if set, frees the memory of holds that were closed and of buffers that
	// were replaced. It is called each time that large holds have left half of Total
	// of such memory, before the next large step. The runtime alone starts a collection
	// later if its heap was small before.
	Collect func()
}

// Budget is the memory for what is read from clients. It is safe for concurrent use.
// A nil Budget grants every step.
type Budget struct {
	clock clock.Clock

	mu     sync.Mutex
	ledger *ledger

	// garbage is the memory that large holds left since the last collection, and
	// collecting is held during one.
	garbage      atomic.Int64
	collecting   sync.Mutex
	collect      func()
	collectAfter int64

	refused, evicted atomic.Int64
}

// New returns a Budget.
func New(o Options) *Budget {
	return &Budget{
		clock: o.Clock, ledger: newLedger(o.Total, min(o.Reserve, o.Total)), collect: o.Collect, collectAfter: o.Total / 2,
	}
}

// Stats are the figures of a Budget.
type Stats struct {
	// Held are the bytes of all holds, and Large those of holds over SmallBytes.
	Held, Large int64
	// Refused is the number of steps that were refused, and Evicted that of holds
	// that were evicted.
	Refused, Evicted int64
}

// Stats returns the current figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Held: b.ledger.held(), Large: b.ledger.large, Refused: b.refused.Load(), Evicted: b.evicted.Load()}
}

// Open returns a hold of no bytes for a team. The function onEvict is called, at most
// once and never after Close, when the hold is evicted. It must stop the read, not
// block, and not use the Budget, whose lock is held.
func (b *Budget) Open(team string, onEvict func()) *Hold {
	if b == nil {
		return nil
	}
	now := b.clock.Now()
	h := &Hold{budget: b, entry: entry{team: team, opened: now, progress: now, onEvict: onEvict}}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.open(&h.entry)
	return h
}

// Hold is the memory that a request or a connection holds. A nil Hold grants every
// step. It is safe for concurrent use.
type Hold struct {
	budget *Budget
	entry  entry // guarded by budget.mu
}

// Grow adds n bytes, before they are allocated. It reports false if they don't fit or
// if the hold was evicted.
func (h *Hold) Grow(n int64) bool {
	if h == nil {
		return true
	}
	b := h.budget
	now := b.clock.Now()
	b.mu.Lock()
	evicted, ok := b.ledger.grow(&h.entry, n, now)
	large := h.entry.large()
	replaced := h.entry.bytes - n
	for _, e := range evicted {
		b.addGarbage(e.evictedBytes)
		e.closed = make(chan struct{})
		if e.onEvict != nil {
			e.onEvict()
		}
	}
	b.mu.Unlock()
	b.evicted.Add(int64(len(evicted)))
	if !ok {
		b.refused.Add(1)
	}
	if large && ok {
		waitClosed(evicted)
		b.addGarbage(replaced)
		b.collectGarbage()
	}
	return ok
}

// addGarbage counts memory that a hold has left, if it is that of a large one.
func (b *Budget) addGarbage(n int64) {
	if n > SmallBytes {
		b.garbage.Add(n)
	}
}

// collectGarbage frees the memory that was left, if there is enough of it. Callers
// that come during a collection wait for its end.
func (b *Budget) collectGarbage() {
	if b.collect == nil || b.garbage.Load() < b.collectAfter {
		return
	}
	b.collecting.Lock()
	defer b.collecting.Unlock()
	if b.garbage.Load() >= b.collectAfter {
		b.garbage.Store(0)
		b.collect()
	}
}

// closeWait bounds the wait until evicted holds are closed. Their reads fail at once.
const closeWait = time.Second

// waitClosed waits until evicted entries are closed, so that the memory that replaces
// theirs is not allocated before theirs is free. Small steps don't wait.
func waitClosed(evicted []*entry) {
	if len(evicted) == 0 {
		return
	}
	t := time.NewTimer(closeWait)
	defer t.Stop()
	for _, e := range evicted {
		select {
		case <-e.closed:
		case <-t.C:
			return
		}
	}
}

// Touch states that bytes have arrived.
func (h *Hold) Touch() {
	if h == nil {
		return
	}
	now := h.budget.clock.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.entry.progress = now
}

// Evicted reports whether the hold was evicted.
func (h *Hold) Evicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.entry.evicted
}

// Complete states that nothing more is read, so that the hold is not evicted. It
// reports false if the hold was evicted before.
func (h *Hold) Complete() bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.entry.complete = true
	delete(h.budget.ledger.incomplete, &h.entry)
	return !h.entry.evicted
}

// Close returns all bytes of the hold.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.addGarbage(h.entry.bytes)
	h.budget.ledger.close(&h.entry)
	if h.entry.closed != nil && !h.entry.left {
		h.entry.left = true
		close(h.entry.closed)
	}
}
