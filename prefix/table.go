package prefix

import (
	"sync/atomic"
	"time"
)

const (
	// MaxHolders is the maximum number of endpoints in the entry of a block.
	MaxHolders = 4
	// DefaultEntries is the default number of entries of a Table. They take about
	// 1.5 MB.
	DefaultEntries = 1 << 14
	// DefaultLifetime is the default time for which a holder is valid after it
	// was last confirmed.
	DefaultLifetime = 5 * time.Minute
)

// Table contains the expected content of the endpoints' caches. It is safe for
// concurrent use.
type Table struct {
	entries  []atomic.Pointer[entry]
	lifetime time.Duration
}

// entry contains the holders of one block. It is immutable.
type entry struct {
	hash    uint64
	holders [MaxHolders]holder
}

// holder is an endpoint that is expected to have a block in its cache. At is the
// time at which this was last confirmed.
type holder struct {
	endpoint *Endpoint
	at       time.Duration
}

// NewTable returns an empty Table with size entries, in which holders are valid
// for lifetime after they were last confirmed. Size must be positive.
func NewTable(size int, lifetime time.Duration) *Table {
	return &Table{entries: make([]atomic.Pointer[entry], size), lifetime: lifetime}
}

// Match is an endpoint that is expected to have a prefix of a prompt in its
// cache.
type Match struct {
	Endpoint *Endpoint
	// Blocks is the length of the prefix, in blocks.
	Blocks int
	// At is the time at which the holder was last confirmed.
	At time.Duration
}

// Matches contains the endpoints with the longest cached prefix of a prompt.
type Matches struct {
	list [MaxHolders]Match
	n    int
}

// All returns the matches. All of them have the same number of blocks.
func (m *Matches) All() []Match { return m.list[:m.n] }

// Lookup returns the endpoints that are expected to have the longest cached
// prefix of the prompt whose Hashes are passed.
func (t *Table) Lookup(now time.Duration, hashes []uint64) Matches {
	var m Matches
	for i := len(hashes) - 1; i >= 0 && m.n == 0; i-- {
		found := t.entryOf(hashes[i]).Load()
		if found == nil || found.hash != hashes[i] {
			continue
		}
		for _, h := range found.holders {
			if t.valid(now, h) {
				m.list[m.n] = Match{Endpoint: h.endpoint, Blocks: i + 1, At: h.at}
				m.n++
			}
		}
	}
	return m
}

// Sent records that a prompt was sent to an endpoint, which will cache it.
func (t *Table) Sent(now time.Duration, e *Endpoint, hashes []uint64) {
	for _, h := range hashes {
		t.put(now, h, e)
	}
}

// Observed compares a match with the number of bytes of the prompt that the
// endpoint reported as cached. It reports whether at least half of the match was
// cached. It does not require all of it, because engines split prompts into
// different blocks. If less was cached, the endpoint has evicted blocks that it
// last used at m.At, and therefore also all blocks last used before.
func (t *Table) Observed(m Match, cached int) bool {
	if cached*2 >= m.Blocks*BlockBytes {
		return true
	}
	m.Endpoint.invalidate(m.At)
	return false
}

// entryOf returns the entry that is used for a hash. It may contain another
// block.
func (t *Table) entryOf(hash uint64) *atomic.Pointer[entry] {
	return &t.entries[hash%uint64(len(t.entries))]
}

func (t *Table) valid(now time.Duration, h holder) bool {
	return h.endpoint != nil && now-h.at < t.lifetime && h.at > time.Duration(h.endpoint.invalidUntil.Load())
}

// put adds an endpoint to the holders of a block. It replaces an invalid holder,
// or else the least recently confirmed one.
func (t *Table) put(now time.Duration, hash uint64, e *Endpoint) {
	p := t.entryOf(hash)
	for {
		old := p.Load()
		next := &entry{hash: hash}
		if old != nil && old.hash == hash {
			next.holders = old.holders
		}
		i := t.replaceable(now, &next.holders, e)
		next.holders[i] = holder{e, max(now, next.holders[i].confirmedAt(e))}
		if p.CompareAndSwap(old, next) {
			return
		}
	}
}

// confirmedAt returns the time of the holder, or zero if it is not the given
// endpoint.
func (h holder) confirmedAt(e *Endpoint) time.Duration {
	if h.endpoint != e {
		return 0
	}
	return h.at
}

// replaceable returns the index of the holder to replace: that of the endpoint
// itself, else an invalid one, else the least recently confirmed one. It also
// removes invalid holders that it finds.
func (t *Table) replaceable(now time.Duration, holders *[MaxHolders]holder, e *Endpoint) int {
	oldest := 0
	for i, h := range holders {
		if h.endpoint == e {
			return i
		}
		if !t.valid(now, h) {
			holders[i] = holder{}
		}
		if holders[i].at < holders[oldest].at {
			oldest = i
		}
	}
	return oldest
}

// drop removes an endpoint from the holders of a block, unless it was confirmed
// after the given time.
func (t *Table) drop(until time.Duration, hash uint64, e *Endpoint) {
	p := t.entryOf(hash)
	for {
		old := p.Load()
		if old == nil || old.hash != hash {
			return
		}
		next := *old
		for i, h := range next.holders {
			if h.endpoint == e && h.at <= until {
				next.holders[i] = holder{}
			}
		}
		if p.CompareAndSwap(old, &next) {
			return
		}
	}
}
