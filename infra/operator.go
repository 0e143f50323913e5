package infra

import (
	"context"

	"github.com/cumincove/cumincove/config"
)

// Intent is what the operators and trainers of a managed platform want.
type Intent struct {
	// Config is the newest configuration, or nil if none was written yet. It
	// is the same pointer as in the answer before if nothing changed.
	Config *config.State
	// Weights is the named weight version of each model.
	Weights map[string]uint64
}

// Operator reads the intent from where the operators write it.
type Operator interface {
	Read(ctx context.Context) (Intent, error)
}

// Replicas lists the endpoints that registered themselves.
type Replicas interface {
	List(ctx context.Context) ([]Replica, error)
}
