// Package effect defines the possible outcomes of a write to a store that may be
// unavailable, and whose replies may be lost.
//
// Packages lease, order, window and dedup determine their next call by the
// outcome of the last write. The code that executes their writes maps the
// errors of the store to an Outcome.
package effect

// Outcome states what is certain about the effect of a write.
type Outcome int

// The outcomes.
const (
	// Unknown means that the write may have taken effect, or may still do so.
	Unknown Outcome = iota
	// Done means that the write took effect.
	Done
	// Conflict means that a precondition of the write, such as the version of a
	// row, was not met. The write had no effect.
	Conflict
	// None means that the write had no effect, for a reason other than a
	// conflict.
	None
)
