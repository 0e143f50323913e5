// Command kit3 plays the cases of the third review: it starts the project's own
// program as separate processes, with stand-ins for the platform's store, its duties
// interface, the replicas and the clients, on loopback addresses and the real clock.
//
// Usage: kit3 CASE RECORD, with the path of the record. The exit code is 1 if
// the case's rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds one run of a case.
const caseTimeout = 115 * time.Second

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"planned-stop":    plannedStop,
	"many-readers":    manyReaders,
	"restarted-owner": restartedOwner,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays one case and returns the exit code.
func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun
	}
	defer w.close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](w)
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		return report(rec, o.broken, o.err)
	case <-time.After(caseTimeout):
		rec.printf("not run: the case did not end in time")
		return exitNotRun
	}
}

func report(rec *record, broken bool, err error) int {
	switch {
	case err != nil:
		rec.printf("not run: %v", err)
		return exitNotRun
	case broken:
		rec.printf("RESULT: the rule was broken")
		return exitBroken
	}
	rec.printf("RESULT: the rule held")
	return exitHeld
}
