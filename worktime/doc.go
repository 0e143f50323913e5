// Package worktime estimates how long work takes at an endpoint from what work of
// the same route and size took before.
//
// The estimate is a running mean, because the time that work waits is the sum of what
// is ahead of it. It falls while there are no new samples: an estimate that is too
// high keeps work from running, and then nothing would correct it. The package reads
// no clock and does no I/O.
package worktime
