// Package weights plans the update of a service's replicas to a new weight
// version.
//
// Each data centre has its own Machine, which orders the loads of the local
// replicas and observes the replicas of the other data centres. At no time may
// more than half of the responsive replicas be unavailable, that is, loading or
// ordered to load. The data centres split this budget by a rule that each of
// them can evaluate locally. Decisions are based on what engines report, not on
// what was ordered: a failed load is ordered again, an unknown outcome is
// resolved by the next report, and a replica that was moved back to an older
// version by another party is updated again.
//
// The package is a state machine without goroutines, clocks or I/O, and is not
// safe for concurrent use.
package weights
