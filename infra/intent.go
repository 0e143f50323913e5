package infra

import (
	"context"

	"github.com/cumincove/cumincove/config"
)

// Intent is the desired state set by the operators and trainers of a managed
// platform.
type Intent struct {
	// Config is the newest configuration, or nil if none was written yet. If
	// nothing changed, it is the same pointer as in the previous result.
	Config *config.State
	// Weights is the desired weight version of each model.
	Weights map[string]uint64
	// Evacuated contains the data centres to whose endpoints nothing more must be
	// sent.
	Evacuated map[string]bool
}

// IntentSource reads the intent from the place to which operators write it.
type IntentSource interface {
	Read(ctx context.Context) (Intent, error)
}

// Replicas lists the endpoints that have registered themselves.
type Replicas interface {
	List(ctx context.Context) ([]Replica, error)
}
