// Package weights brings new weight versions from trainers to engines.
//
// The desired version of a service is stored in a row, and never decreases. The
// controller of each data centre reads it and swaps the replicas of the data
// centre according to the plan of the state machine in the top-level package
// weights, under the lease of the duty "weights" of that data centre.
package weights
