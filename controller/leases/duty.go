package leases

import (
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/invariant"
)

// The names of duties.
const (
	// Orders gives the endpoint orders of one data centre.
	Orders = "orders"
	// Usage seals and reports usage windows.
	Usage = "usage"
	// Weights moves engines to the named weight versions.
	Weights = "weights"
)

// Duty is a job that one instance does at a time.
type Duty struct {
	Name string
	// DataCentre is where the job is done; empty means everywhere.
	DataCentre string
}

// String returns the duty in the form that rows and logs show.
func (d Duty) String() string {
	if d.DataCentre == "" {
		return d.Name
	}
	return d.Name + "/" + d.DataCentre
}

// Key is the key of the lease's row.
func (d Duty) Key() string { return "lease/" + d.String() }

// FenceKey is the key of the row whose version is the lease's epoch. It is
// written at each acquisition only, so that checks against it do not collide
// with renewals.
func (d Duty) FenceKey() string { return "fence/" + d.String() }

// Fence returns an Op with which a transaction fails unless the duty's lease
// is still in the epoch.
func (d Duty) Fence(epoch uint64) infra.Op {
	return infra.Check(d.FenceKey(), epoch)
}

// invariant is what two holders of the duty at a time would break.
func (d Duty) invariant() invariant.Name {
	if d.Name == Usage {
		return invariant.OneReporter
	}
	return invariant.OneOrderer
}
