// Package ledger tracks the samples of one step of rollouts: which samples
// exist, which are stored, which the trainer has received, and which have become
// too old.
//
// A step has a fixed set of slots, each identified by group and index. A sample
// fills a slot; a group is delivered as a unit once all its slots are filled.
// Three rules make delivery exactly once:
//
//   - The trainer's Cursor is the set of groups that it has received. It alone
//     determines what the trainer still needs. If a response is lost, the
//     trainer repeats the request with the same Cursor. A new owner of the step
//     needs no message from the previous one, and a previous owner that was
//     paused and replaced can do no harm.
//   - A group is delivered only after it is stored, so that a new owner returns
//     the same samples for the same Cursor. Only during a store outage longer
//     than Config.Grace are groups delivered from memory.
//   - Pull checks staleness. A sample that has become too old is dropped, and
//     its slot is filled again under a higher attempt number.
//
// The package is a state machine without goroutines, clocks or I/O. The caller
// passes in the time, writes the batches that Batch returns, and reports the
// results of the writes. A Ledger is not safe for concurrent use.
package ledger
