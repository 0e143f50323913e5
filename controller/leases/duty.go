package leases

import (
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/invariant"
)

// The names of duties, each with the task that its holder performs.
const (
	// Orders is the duty to send the endpoint orders of one data centre.
	Orders = "orders"
	// Usage is the duty to seal and report usage windows.
	Usage = "usage"
	// Weights is the duty to move engines to the named weight versions of their
	// models.
	Weights = "weights"
)

// Duty is a task that one instance at a time performs.
type Duty struct {
	Name string
	// DataCentre is the data centre that the duty covers; empty means all.
	DataCentre string
}

// String returns the duty as written in row keys and logs.
func (d Duty) String() string {
	if d.DataCentre == "" {
		return d.Name
	}
	return d.Name + "/" + d.DataCentre
}

// Key returns the key of the lease's row.
func (d Duty) Key() string { return "lease/" + d.String() }

// FenceKey returns the key of the row whose version is the lease's epoch. The row
// is written at each acquisition only, so that checks against it do not conflict
// with renewals.
func (d Duty) FenceKey() string { return "fence/" + d.String() }

// Fence returns an Op that makes a transaction fail unless the duty's lease is
// still in the epoch.
func (d Duty) Fence(epoch uint64) infra.Op {
	return infra.CheckVersion(d.FenceKey(), epoch)
}

// invariant returns the invariant that two simultaneous holders of the duty would
// violate.
func (d Duty) invariant() invariant.Name {
	if d.Name == Usage {
		return invariant.OneReporter
	}
	return invariant.OneOrderer
}
