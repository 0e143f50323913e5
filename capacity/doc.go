// Package capacity decides how many endpoints each pool of a service should
// have.
//
// Collector sums the demand reports of the instances and reports whether recent
// ones from all instances are available. Target converts a need into a count for
// each pool: cheap pools first, sized so that the loss of the largest of them
// leaves enough for interactive callers. Planner adjusts the counts over time: it
// raises them at once, lowers them slowly and never on missing or old data, and
// uses other pools while a pool does not provide what was ordered. Trend
// extrapolates the need for a forecast. Sharers counts the instances among which
// the room for rollout work at endpoints is divided.
//
// The package has no goroutines, clocks or I/O. Times are boot times of the
// caller's instance.
package capacity
