package soak

import (
	"fmt"
	"sync"
)

// Guarantee is the number of a guarantee: a line of "What must always hold" in the
// brief, starting at 1.
type Guarantee int

// The guarantees, in the order of "What must always hold".
const (
	SampleVersions Guarantee = iota + 1
	SampleStaleness
	SampleOnce
	OwnTeamOnly
	KeyNeverLeaves
	WithdrawnKeyStops
	OneOrderer
	OneReporter
	OwnWholeAnswer
	NotRunIsTrue
	AtMostOnce
	LeavingGetsNothing
	ShutdownCutsNone
	ConfigNeverReverts

	lineCount = int(ConfigNeverReverts)
)

var lineNames = [lineCount + 1]string{
	"",
	"samples name their weight versions",
	"no sample over the staleness bound",
	"each sample exactly once",
	"a request runs for its own team only",
	"no endpoint sees a key",
	"a withdrawn key stops",
	"orders from one process in charge",
	"usage windows reported with one set of figures",
	"own whole answer",
	"\"not run\" is true",
	"non-idempotent at most once",
	"a leaving endpoint gets no new work",
	"graceful shutdown cuts no request",
	"configuration in force, never reverts",
}

// String returns the guarantee's number and name.
func (l Guarantee) String() string {
	return fmt.Sprintf("%2d %s", int(l), lineNames[l])
}

// maxDetails bounds the number of violations that are kept with details.
const maxDetails = 20

// Verdict contains how often each guarantee was exercised and broken.
type Verdict struct {
	Exercised [lineCount + 1]int
	Broken    [lineCount + 1]int
	Details   []string
}

// oracle collects the results of all checks.
type oracle struct {
	mu       sync.Mutex
	verdicts Verdict
}

// check counts one check of a guarantee. If ok is false, the guarantee is broken.
func (o *oracle) check(l Guarantee, ok bool, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdicts.Exercised[l]++
	if ok {
		return
	}
	o.verdicts.Broken[l]++
	if len(o.verdicts.Details) < maxDetails {
		o.verdicts.Details = append(o.verdicts.Details, fmt.Sprintf("line %d: ", l)+fmt.Sprintf(format, args...))
	}
}

func (o *oracle) verdict() Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.verdicts
}
