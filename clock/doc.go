// Package clock provides the clocks on which decisions are based.
//
// All durations on which agreement between instances depends (a lease, a
// freshness bound, a drain period) are measured in boot time, which includes
// the time while the machine is suspended. Wall clock time is used for display
// only.
package clock
