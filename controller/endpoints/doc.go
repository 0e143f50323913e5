// Package endpoints keeps the endpoints that the platform runs at their desired
// counts, and publishes the lists of running endpoints to the instance's
// snapshot (view.Store).
//
// The holder of the duty "orders" of a data centre observes the data centre and
// reports its endpoints to the other instances through gossip. An instance that
// receives no report for some time observes the data centre itself (Watch). The
// holder also decides how many endpoints each pool in the data centre should
// have, from the demand that all instances report (package capacity), and sends
// the orders (package order). Each call that changes something is an operation
// under the lease.
package endpoints
