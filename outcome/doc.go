// Package outcome determines whether a request has been executed and whether
// another attempt may be made.
//
// Every attempt ends as NotRun, MaybeRun or Ran. The outcome of a request is
// the join, that is the maximum, of the outcomes of its attempts. It never
// decreases, so "not run" is reported only if no attempt can have reached an
// endpoint. A request that is not idempotent is retried only while its outcome
// is NotRun.
//
// The package is pure: no goroutines, no clock, no I/O. A Record must be used by
// one goroutine only.
package outcome
