package prefix

import (
	"sync"
	"sync/atomic"
	"time"
)

// Kind is the kind of an Event.
type Kind string

// The kinds of Event.
const (
	// Stored means that the block was added to the cache.
	Stored Kind = "stored"
	// Evicted means that the block was removed from the cache.
	Evicted Kind = "evicted"
	// Cleared means that all blocks were removed from the cache.
	Cleared Kind = "cleared"
)

// Event is one change of an endpoint's cache.
type Event struct {
	Kind Kind `json:"kind"`
	// Hash is the hash of the block (see Hashes). It is zero for Cleared.
	Hash uint64 `json:"hash,omitempty"`
}

// Batch is a sequence of events, or the complete content of a cache.
type Batch struct {
	// Run identifies a run of the endpoint. The sequence numbers of events start
	// again with each run.
	Run uint64 `json:"run"`
	// First is the sequence number of the first event. Sequence numbers increase
	// by one with each event.
	First uint64 `json:"first"`
	// Reset indicates that Events is the complete content of the cache before
	// the event with number First. These events have no sequence numbers.
	Reset  bool    `json:"reset,omitempty"`
	Events []Event `json:"events,omitempty"`
}

// Endpoint is an endpoint of a model whose cache a Table tracks.
type Endpoint struct {
	// Name is chosen by the caller. The package does not use it.
	Name string

	// invalidUntil is the boot time up to which the endpoint's holders are
	// invalid.
	invalidUntil atomic.Int64

	mu sync.Mutex
	// next is the sequence number of the next event of the run.
	next uint64
	run  uint64
	// inSequence indicates that all events of the run up to next were applied.
	inSequence bool
}

// Clear invalidates the endpoint's holders up to time now.
func (e *Endpoint) Clear(now time.Duration) { e.invalidate(now) }

// invalidate makes the holders invalid that were confirmed up to a time. It can
// be called with or without e.mu held.
func (e *Endpoint) invalidate(until time.Duration) {
	for {
		old := e.invalidUntil.Load()
		if int64(until) <= old || e.invalidUntil.CompareAndSwap(old, int64(until)) {
			return
		}
	}
}

// Apply applies events of an endpoint's cache. The events describe the cache at
// boot time at, which must not be later than the time at which they were
// requested. Apply reports whether the events follow the previous ones without
// a gap. After a gap all holders of the endpoint are invalid, and only a reset
// is applied.
func (t *Table) Apply(at time.Duration, e *Endpoint, b Batch) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	sameRun := e.inSequence && b.Run == e.run
	if b.Reset {
		if !sameRun || b.First >= e.next {
			t.reset(at, e, b)
		}
		return true
	}
	if !sameRun || b.First > e.next {
		e.invalidate(at)
		e.inSequence = false
		return false
	}
	end := b.First + uint64(len(b.Events))
	if end > e.next {
		t.applyAll(at, e, b.Events[e.next-b.First:])
		e.next = end
	}
	return true
}

// reset replaces the endpoint's holders by the complete content of its cache.
func (t *Table) reset(at time.Duration, e *Endpoint, b Batch) {
	e.invalidate(at)
	e.inSequence = true
	e.run = b.Run
	e.next = b.First
	t.applyAll(at, e, b.Events)
}

// applyAll applies events in order. The time of each event is one nanosecond
// after that of the previous one, so that an invalidation does not affect the
// holders that later events add.
func (t *Table) applyAll(at time.Duration, e *Endpoint, events []Event) {
	for _, ev := range events {
		at++
		switch ev.Kind {
		case Stored:
			t.put(at, ev.Hash, e)
		case Evicted:
			t.drop(at, ev.Hash, e)
		case Cleared:
			e.invalidate(at)
		}
	}
}
