// Package weights brings new weight versions from trainers to engines.
//
// The desired version of a service is stored in a row, and never decreases. The
// replicas of a service are the engines that serve it; a swap makes a replica load
// the desired version. In each data centre, the holder of the duty "weights" reads
// the desired version and swaps the replicas there according to the plan of the
// state machine in the top-level package weights. Each order is sent under the
// duty's lease.
package weights
