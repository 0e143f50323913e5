package dedup

import "time"

// Generation is the newest generation of rows. Its number is the version of the
// generation row, which is never deleted.
type Generation struct {
	Number uint64
	Retention
}

// Retention is the content of the generation row.
type Retention struct {
	// Keep is the minimum time for which rows of this generation are valid, and
	// Previous the minimum time for those of the previous generation. The package
	// comment calls Keep the promised time.
	Keep     time.Duration `json:"keep"`
	Previous time.Duration `json:"last"`
}

// AdvanceGeneration is a write of the generation row that is conditional on its
// version (zero if the row must not exist). The caller must read the row again
// after the write, whatever its outcome.
type AdvanceGeneration struct {
	IfVersion uint64
	Retention Retention
}

// GenerationTracker tracks the generation row and determines when to start the
// next generation. Any number of processes may do this concurrently.
type GenerationTracker struct {
	// Keep is the minimum time for which rows must be valid.
	Keep time.Duration

	newest Generation
	// observedAt is when newest was first observed.
	observedAt time.Duration
	// observed indicates that the row has been read.
	observed bool
}

// Observe handles the result of a read of the generation row. Number zero means
// that the row does not exist.
func (g *GenerationTracker) Observe(now time.Duration, newest Generation) {
	if !g.observed || newest.Number > g.newest.Number {
		g.newest, g.observedAt, g.observed = newest, now, true
	}
}

// Newest returns the newest observed generation, with number zero if there is
// none.
func (g *GenerationTracker) Newest() Generation { return g.newest }

// Next returns the write that is due, or nil if none is due.
func (g *GenerationTracker) Next(now time.Duration) *AdvanceGeneration {
	if !g.observed {
		return nil
	}
	lifetime := max(g.Keep, g.newest.Keep, g.newest.Previous)
	if g.newest.Number > 0 && now-g.observedAt < lifetime {
		return nil
	}
	return &AdvanceGeneration{
		IfVersion: g.newest.Number,
		Retention: Retention{Keep: g.Keep, Previous: g.newest.Keep},
	}
}

// OldestValid returns the oldest generation whose rows are valid. Rows of earlier
// generations may be deleted.
func (g *GenerationTracker) OldestValid() uint64 {
	return max(g.newest.Number, 1) - 1
}
