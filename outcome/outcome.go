package outcome

import "fmt"

// Outcome states what is certain about the execution of an attempt or a
// request. The values are ordered. The outcome of a request never changes to a
// lower value.
type Outcome uint8

// The outcomes.
const (
	// NotRun means that certainly no endpoint executed any part of the request.
	NotRun Outcome = iota
	// MaybeRun means that an endpoint may have executed the request.
	MaybeRun
	// Ran means that an endpoint returned an answer, and thus executed the
	// request.
	Ran
)

// Join returns the outcome of a request with two attempts whose outcomes are a
// and b.
func (a Outcome) Join(b Outcome) Outcome {
	return max(a, b)
}

// String returns "not_run", "maybe_run" or "ran".
func (a Outcome) String() string {
	switch a {
	case NotRun:
		return "not_run"
	case MaybeRun:
		return "maybe_run"
	case Ran:
		return "ran"
	}
	return fmt.Sprintf("outcome(%d)", uint8(a))
}
