package infra

import (
	"errors"

	"github.com/cumincove/cumincove/effect"
)

var (
	// ErrNotFound is returned when the row or object does not exist.
	ErrNotFound = errors.New("infra: not found")
	// ErrConflict is returned when a check of the transaction failed. Nothing
	// was written.
	ErrConflict = errors.New("infra: conflict")
	// ErrUnavailable is returned when the platform refused the request or could
	// not be reached. Nothing was written.
	ErrUnavailable = errors.New("infra: unavailable")
	// ErrUnknownOutcome is returned when the request may or may not have been
	// executed. Only a later read can resolve the outcome.
	ErrUnknownOutcome = errors.New("infra: unknown outcome")
	// ErrStaleEpoch is returned when a receiver that checks epochs has already
	// received a higher one. The order was not executed.
	ErrStaleEpoch = errors.New("infra: stale epoch")
)

// OutcomeKnown reports whether the outcome of a call that returned err is
// certain: it succeeded, or it had no effect.
func OutcomeKnown(err error) bool {
	if err == nil {
		return true
	}
	for _, definite := range []error{ErrNotFound, ErrConflict, ErrUnavailable, ErrStaleEpoch, ErrOrderRefused, ErrNotRun} {
		if errors.Is(err, definite) {
			return true
		}
	}
	return false
}

// EffectOf returns the outcome of a write that returned err, as far as it is
// certain.
func EffectOf(err error) effect.Outcome {
	switch {
	case err == nil:
		return effect.Done
	case errors.Is(err, ErrConflict):
		return effect.Conflict
	case OutcomeKnown(err):
		return effect.None
	default:
		return effect.Unknown
	}
}
