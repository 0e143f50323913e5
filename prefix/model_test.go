package prefix

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelEntries = 8
	modelBlocks  = 12
)

// model is an endpoint with the actual content of its cache, and the table that
// tracks it. The events of the cache are sent in batches, which may arrive late,
// out of order, twice or not at all.
type model struct {
	table  *Table
	e      Endpoint
	now    time.Duration
	log    []Event
	cached map[uint64]bool
	// batches contains the batches that were sent, and batchTimes their times.
	batches    []Batch
	batchTimes []time.Duration
	// gapAt is the time of the last gap that the table detected.
	gapAt time.Duration
	// sentAt is the time at which each block was last passed to Sent. removedAt
	// is the time at which, according to the events delivered, each block was not
	// in the cache.
	sentAt, removedAt map[uint64]time.Duration
}

// record adds an event of the cache.
func (m *model) record(ev Event) {
	m.log = append(m.log, ev)
	if ev.Kind == Cleared {
		clear(m.cached)
	} else {
		m.cached[ev.Hash] = ev.Kind == Stored
	}
}

// publish sends the events from a sequence number on, or the complete content of
// the cache.
func (m *model) publish(from int, reset bool) {
	b := Batch{First: uint64(from), Events: m.log[from:]}
	if reset {
		b = Batch{First: uint64(len(m.log)), Reset: true}
		for h := range uint64(modelBlocks) {
			if m.cached[h] {
				b.Events = append(b.Events, Event{Kind: Stored, Hash: h})
			}
		}
	}
	m.batches = append(m.batches, b)
	m.batchTimes = append(m.batchTimes, m.now)
}

// deliver applies a batch, and records which blocks are not in the cache
// according to it.
func (m *model) deliver(i int) {
	b, at := m.batches[i], m.batchTimes[i]
	next, late := m.e.next, m.e.inSequence && b.First < m.e.next
	if !m.table.Apply(at, &m.e, b) {
		m.gapAt = max(m.gapAt, at)
		return
	}
	events := b.Events
	switch {
	case b.Reset && late:
		return
	case b.Reset:
		events = append([]Event{{Kind: Cleared}}, events...)
	default:
		events = events[min(next-b.First, uint64(len(events))):]
	}
	for _, ev := range events {
		for h := range uint64(modelBlocks) {
			switch {
			case ev.Kind == Cleared || ev.Kind == Evicted && ev.Hash == h:
				m.removedAt[h] = at
			case ev.Hash == h:
				delete(m.removedAt, h)
			}
		}
	}
}

// check checks the content of the table against the events delivered.
func (m *model) check() error {
	matches := 0
	for h := range uint64(modelBlocks) {
		found := m.table.Lookup(m.now, []uint64{h})
		if len(found.All()) == 0 {
			continue
		}
		matches++
		if at := found.All()[0].At; m.gapAt > 0 && at <= m.gapAt {
			return fmt.Errorf("block %d, last confirmed at %v, has a match despite the gap at %v", h, at, m.gapAt)
		}
		if removed, ok := m.removedAt[h]; ok && m.sentAt[h] <= removed {
			return fmt.Errorf("block %d has a match, but an event reported its removal at %v", h, removed)
		}
	}
	if matches > modelEntries {
		return fmt.Errorf("%d blocks have a match, but the table has %d entries", matches, modelEntries)
	}
	return nil
}

func (m *model) step(t *rapid.T) {
	m.now += time.Second
	h := rapid.Uint64Range(0, modelBlocks-1).Draw(t, "block")
	switch action := rapid.IntRange(0, 20).Draw(t, "what"); {
	case action < 6:
		m.record(Event{Kind: Stored, Hash: h})
	case action < 9:
		m.record(Event{Kind: Evicted, Hash: h})
	case action < 10:
		m.record(Event{Kind: Cleared})
	case action < 14:
		m.publish(rapid.IntRange(0, len(m.log)).Draw(t, "from"), rapid.Bool().Draw(t, "whole"))
	case action < 17:
		m.sentAt[h] = m.now
		m.table.Sent(m.now, &m.e, []uint64{h})
	case len(m.batches) > 0:
		m.deliver(rapid.IntRange(0, len(m.batches)-1).Draw(t, "which"))
	}
}

func TestEntriesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			table: NewTable(modelEntries, time.Hour), now: time.Second,
			cached: map[uint64]bool{}, sentAt: map[uint64]time.Duration{}, removedAt: map[uint64]time.Duration{},
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step(t)
			if err := m.check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
