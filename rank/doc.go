// Package rank computes the slack of work: the time that is left beyond what the work
// still needs.
//
// The queue of a service (fairqueue) and rollout steps (durable) decide with it what can
// still meet its deadline, and what must start first (least slack). Each has an order of
// its own besides: by priority and team, or by group. The package has no state, clock or
// I/O.
package rank
