package infra

import (
	"errors"

	"github.com/cumincove/cumincove/effect"
)

var (
	// ErrNotFound says that the row or object does not exist.
	ErrNotFound = errors.New("infra: not found")
	// ErrConflict says that a check of the transaction failed; nothing was
	// written.
	ErrConflict = errors.New("infra: conflict")
	// ErrUnavailable says that the platform refused or could not be reached;
	// nothing was written.
	ErrUnavailable = errors.New("infra: unavailable")
	// ErrUnknownOutcome says that the request may or may not have been
	// executed. Only a later read can tell.
	ErrUnknownOutcome = errors.New("infra: unknown outcome")
	// ErrStaleEpoch says that a receiver which checks fencing numbers has
	// already seen a higher one; the order was not executed.
	ErrStaleEpoch = errors.New("infra: stale epoch")
)

// Definite reports whether the effect of a call that returned err is certain:
// it succeeded, or had none.
func Definite(err error) bool {
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

// EffectOf returns what is certain about the effect of a write that returned
// err.
func EffectOf(err error) effect.Outcome {
	switch {
	case err == nil:
		return effect.Done
	case errors.Is(err, ErrConflict):
		return effect.Conflict
	case Definite(err):
		return effect.None
	default:
		return effect.Unknown
	}
}
