package leases

import (
	"errors"

	"github.com/cumincove/cumincove/effect"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/lease"
)

// EffectOf returns what is certain about the effect of an operation under a lease
// that returned err.
func EffectOf(err error) effect.Outcome {
	if errors.Is(err, lease.ErrNotHeld) {
		return effect.None
	}
	return infra.EffectOf(err)
}
