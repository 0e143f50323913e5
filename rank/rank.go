package rank

import "time"

// Work is a piece of work as far as its slack depends on it.
type Work struct {
	// Deadline is the boot time by which the work must be complete.
	Deadline time.Duration
	// Remaining is the estimated time that the work needs once it runs.
	Remaining time.Duration
}

// Slack returns how long the start of the work can be delayed. It is negative if the
// work can't meet its deadline any more.
func (w Work) Slack(now time.Duration) time.Duration { return w.Deadline - now - w.Remaining }

// Feasible reports whether the work can still meet its deadline.
func (w Work) Feasible(now time.Duration) bool { return w.Slack(now) >= 0 }
