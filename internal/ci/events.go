package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxEventBytes bounds one line of go test -json, in bytes.
const maxEventBytes = 16 << 20

// event is one line of the output of go test -json (see go doc cmd/test2json).
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// results contains the outcome of a run of go test.
type results struct {
	passed  int // top-level tests
	failed  int
	skipped []string
	// broken counts packages that failed for a reason other than a failed test:
	// a build error, a panic between tests, or a timeout.
	broken int
}

func (r results) ok() bool { return r.failed == 0 && r.broken == 0 && len(r.skipped) == 0 }

func (r *results) add(other results) {
	r.passed += other.passed
	r.failed += other.failed
	r.broken += other.broken
	r.skipped = append(r.skipped, other.skipped...)
}

// eventReader processes the events of one run. It prints the output of packages
// and the complete output of failed tests.
type eventReader struct {
	out            io.Writer
	res            results
	testOutput     map[string]*bytes.Buffer // output of each top-level test
	failedPackages map[string]bool          // packages with a failed test
}

// readEvents reads the events of one run from in, prints output to out, and
// returns the results. It copies lines that are not events to out.
func readEvents(in io.Reader, out io.Writer) (results, error) {
	r := &eventReader{out: out, testOutput: map[string]*bytes.Buffer{}, failedPackages: map[string]bool{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		r.handle(e)
	}
	return r.res, lines.Err()
}

func (r *eventReader) handle(e event) {
	top, _, isSubtest := strings.Cut(e.Test, "/")
	switch {
	case e.Action == "build-output":
		fmt.Fprint(r.out, e.Output)
	case e.Action == "output" && e.Test == "":
		r.printPackageOutput(e.Output)
	case e.Action == "output":
		r.outputOf(e.Package, top).WriteString(e.Output)
	case e.Test == "" && e.Action == "fail" && !r.failedPackages[e.Package]:
		r.res.broken++
		r.printUnfinished(e.Package)
	case e.Test == "" || (isSubtest && e.Action != "skip"):
		return
	case e.Action == "skip":
		r.res.skipped = append(r.res.skipped, e.Package+" "+e.Test)
	case e.Action == "pass":
		r.res.passed++
		delete(r.testOutput, e.Package+" "+top)
	case e.Action == "fail":
		r.res.failed++
		r.failedPackages[e.Package] = true
		fmt.Fprint(r.out, r.outputOf(e.Package, top).String())
	}
}

// outputOf returns the buffer for the output of a top-level test.
func (r *eventReader) outputOf(pkg, top string) *bytes.Buffer {
	key := pkg + " " + top
	if r.testOutput[key] == nil {
		r.testOutput[key] = &bytes.Buffer{}
	}
	return r.testOutput[key]
}

// printUnfinished prints the output of the tests that had not ended when the test
// binary of their package exited.
func (r *eventReader) printUnfinished(pkg string) {
	for _, key := range slices.Sorted(maps.Keys(r.testOutput)) {
		if strings.HasPrefix(key, pkg+" ") {
			fmt.Fprintf(r.out, "not ended: %s\n%s", key, r.testOutput[key])
		}
	}
}

func (r *eventReader) printPackageOutput(text string) {
	if text != "PASS\n" && text != "FAIL\n" {
		fmt.Fprint(r.out, text)
	}
}
