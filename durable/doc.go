// Package durable schedules a rollout step that is stored in the platform's
// table: it decides which endpoint generates each sample, how an interrupted
// stream is resumed, and in which order results are stored.
//
// A step is a fixed list of samples that a trainer submits together. A sample is
// one request to generate a text, which a scoring service may then score. A
// result is assigned a position when it is stored, and the position never
// changes. Any process can take a step over from its rows: it starts with the
// stored results and the saved state of the other samples.
//
// A Step is a state machine without goroutines, clocks or I/O. The caller calls
// Tick, carries out the returned actions, and reports the results of engines,
// the scoring service and the store. A Step is not safe for concurrent use.
//
// An interrupted stream is resumed after its last event at another endpoint. A
// sample is never generated twice in parallel to use the first result, because
// that would favour short texts.
package durable
