package soak

import (
	"fmt"
	"sync"
)

// Guarantee is the number of a guarantee: its line in the section "What must
// always hold" of the project's brief, starting at 1.
type Guarantee int

// The guarantees, in the order of that section.
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

	guaranteeCount = int(ConfigNeverReverts)
)

// guaranteeNames contains a short description of each guarantee, by its number.
var guaranteeNames = [guaranteeCount + 1]string{
	"",
	"samples name their weight versions",
	"no sample over the staleness bound",
	"each sample exactly once",
	"a request runs for its own team only",
	"no endpoint receives a key",
	"a withdrawn key stops",
	"orders from one instance at a time",
	"usage windows reported with one set of figures",
	"complete response to the caller's own request",
	"\"not run\" is true",
	"non-idempotent at most once",
	"a leaving endpoint gets no new work",
	"graceful shutdown cuts no request",
	"configuration in force, never reverts",
}

// String returns the guarantee's number and description.
func (g Guarantee) String() string {
	return fmt.Sprintf("%2d %s", int(g), guaranteeNames[g])
}

// maxDetails bounds the number of violations that are kept with details.
const maxDetails = 20

// Verdict contains how often each guarantee was exercised and broken.
type Verdict struct {
	Exercised [guaranteeCount + 1]int
	Broken    [guaranteeCount + 1]int
	Details   []string
}

// oracle collects the results of all checks.
type oracle struct {
	mu       sync.Mutex
	verdicts Verdict
}

// check counts one check of a guarantee. If ok is false, the guarantee is broken.
func (o *oracle) check(g Guarantee, ok bool, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdicts.Exercised[g]++
	if ok {
		return
	}
	o.verdicts.Broken[g]++
	if len(o.verdicts.Details) < maxDetails {
		o.verdicts.Details = append(o.verdicts.Details, fmt.Sprintf("guarantee %d: ", g)+fmt.Sprintf(format, args...))
	}
}

func (o *oracle) verdict() Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.verdicts
}
