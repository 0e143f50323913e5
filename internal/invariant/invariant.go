// Package invariant checks the guarantees of the system inside the running program.
//
// A broken invariant is counted, logged and passed to a hook. Production code
// continues to run after it; tests install a hook that fails the test.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
)

// Name identifies an invariant in logs, metrics and docs/PROMISES.md.
type Name string

// The invariants, in the order of the section "What must always hold" of the
// project's brief.
const (
	SampleVersions     Name = "sample_versions"      // a sample has a weight version for each token
	SampleStaleness    Name = "sample_staleness"     // no delivered sample exceeds its staleness bound
	SampleOnce         Name = "sample_once"          // each sample is delivered exactly once
	OwnTeamOnly        Name = "own_team_only"        // a request runs for the team of its key only
	KeyNeverLeaves     Name = "key_never_leaves"     // no endpoint receives a key
	WithdrawnKeyStops  Name = "withdrawn_key_stops"  // a withdrawn key stops working, also for running requests
	OneOrderer         Name = "one_orderer"          // orders come from one instance at a time
	OneReporter        Name = "one_reporter"         // a usage window is reported with one set of figures
	OwnWholeAnswer     Name = "own_whole_answer"     // a response belongs to its request and is complete or visibly truncated
	NotRunIsTrue       Name = "not_run_is_true"      // a request reported as "not run" was not run
	AtMostOnce         Name = "at_most_once"         // a request that is not idempotent runs at most once
	LeavingGetsNothing Name = "leaving_gets_nothing" // a leaving endpoint soon receives no new requests
	ShutdownCutsNone   Name = "shutdown_cuts_none"   // a graceful shutdown interrupts no request
	ConfigNeverReverts Name = "config_never_reverts" // an instance never returns to an older configuration
)

// Count contains how often an invariant was checked and broken.
type Count struct {
	Checked atomic.Uint64
	Broken  atomic.Uint64
}

var (
	counts sync.Map // map from Name to *Count
	hook   atomic.Pointer[func(Name, string)]
)

// Counts returns the counters of an invariant.
func Counts(n Name) *Count {
	if c, ok := counts.Load(n); ok {
		return c.(*Count)
	}
	c, _ := counts.LoadOrStore(n, new(Count))
	return c.(*Count)
}

// OnBroken installs the hook that is called for each broken invariant with the
// invariant's name and a description of the violation. Nil removes the hook.
func OnBroken(f func(Name, string)) {
	if f == nil {
		hook.Store(nil)
		return
	}
	hook.Store(&f)
}

// Check counts one check of an invariant. If ok is false, the invariant is broken:
// Check logs the formatted message and calls the hook. It formats the message only
// in this case. It returns ok, so that callers can stop the operation.
func Check(n Name, ok bool, format string, args ...any) bool {
	c := Counts(n)
	c.Checked.Add(1)
	if ok {
		return true
	}
	c.Broken.Add(1)
	msg := fmt.Sprintf(format, args...)
	slog.Error("invariant broken", "invariant", string(n), "detail", msg)
	if f := hook.Load(); f != nil {
		(*f)(n, msg)
	}
	return false
}
