// Package durable decides what happens to a rollout step that is kept in the
// platform's table: which sample is generated where, what becomes of a broken
// stream, and in which order results are listed.
//
// A step is a fixed list of samples. A result has a position, given when it is
// stored, that never changes. Any process can take a step over from its rows:
// it begins with the results that are listed, and with what was saved of the
// samples that were under way.
//
// A Step is a state machine without goroutines, clocks or I/O. Its user calls
// Tick and carries out the actions, and reports what engines, the scoring
// service and the store answer. It is not safe for concurrent use.
//
// A stream that breaks goes on after its last event at another endpoint. A
// sample is never generated twice to take the first answer, which would favour
// short ones.
package durable
