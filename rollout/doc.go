// Package rollout schedules one step of rollouts, in which a group of samples is
// generated for each of a trainer's prompts. A slot is the position of one sample
// in its group. The package decides at which endpoint the sample of each slot is
// generated, how an interrupted stream is resumed, which weight versions a sample
// is attributed to, and which work is abandoned.
//
// A Step is a state machine without goroutines, clocks or I/O. The caller calls
// Tick, carries out the returned actions, and reports the results from the
// engines and the store. A Step records its samples in a ledger.Ledger. It is
// not safe for concurrent use.
//
// An interrupted stream is resumed from the tokens it produced, on another
// endpoint and with the same seed. A slot is never sampled twice to use
// whichever sample finishes first, because that would favour short samples.
package rollout
