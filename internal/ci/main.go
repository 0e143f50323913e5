package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
)

const (
	knownRedFile = "KNOWN-RED.txt"
	rapidPath    = "pgregory.net/rapid"
)

// alonePath is the suffix of the import paths of packages that are run one at a time,
// after all others, because their tests measure processes.
const alonePath = "/crowdtest"

// fakeTimePaths are suffixes of the import paths that tests under fake time use.
var fakeTimePaths = []string{"testing/synctest", "/internal/bubble"}

func main() {
	seed := flag.Int("seed", 20261203, "seed for rapid")
	timeout := flag.String("timeout", "20m", "time limit for the tests of one package")
	flag.Parse()
	c := ci{dir: ".", seed: *seed, timeout: *timeout, out: os.Stdout}
	ok, err := c.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "ci:", err)
	}
	if !ok || err != nil {
		os.Exit(1)
	}
}

// ci is one run of the tests of the module in dir.
type ci struct {
	dir     string
	seed    int
	timeout string
	out     io.Writer
}

// pkg is a package of the module.
type pkg struct {
	path string
	dir  string
	mode mode
	// alone is set if the package is run after all others, one at a time.
	alone bool
}

// mode describes how a package's tests are run.
type mode struct {
	// rapid is set if the tests accept a rapid seed.
	rapid bool
	// fakeTime is set if the package has tests under fake time. They are run
	// without the race detector, whose runtime occasionally crashes inside a
	// synctest bubble (Go 1.26: "ThreadSanitizer: CHECK failed", or a fault in
	// goroutine 0).
	fakeTime bool
}

var modes = []mode{{}, {rapid: true}, {fakeTime: true}, {rapid: true, fakeTime: true}}

// run executes all tests, prints the results and reports whether the run passes.
func (c ci) run() (bool, error) {
	module, err := c.goCommand("list", "-m").Output()
	if err != nil {
		return false, withStderr(err)
	}
	known, err := readKnownRed(c.dir+"/"+knownRedFile, strings.TrimSpace(string(module)))
	if err != nil {
		return false, err
	}
	pkgs, err := c.packages()
	if err != nil {
		return false, err
	}
	total, err := c.runExpectedToPass(pkgs, known)
	if err != nil {
		return false, err
	}
	realTime, err := c.runRealTimeWithRace(pkgs, known)
	if err != nil {
		return false, err
	}
	total.add(realTime)
	alone, err := c.runAlone(pkgs, known)
	if err != nil {
		return false, err
	}
	total.add(alone)
	knownOK, err := c.runKnownRed(pkgs, known)
	if err != nil {
		return false, err
	}
	for _, name := range total.skipped {
		fmt.Fprintln(c.out, "skipped, which counts as failed:", name)
	}
	if total.broken > 0 {
		fmt.Fprintln(c.out, "packages that failed outside their tests:", total.broken)
	}
	failed := total.failed + total.broken + len(total.skipped)
	fmt.Fprintf(c.out, "%d passed, %d failed\n", total.passed, failed)
	return total.ok() && knownOK, nil
}

// packages lists the packages of the module.
func (c ci) packages() ([]pkg, error) {
	const format = `{{.ImportPath}} {{.Dir}} {{join .TestImports " "}} {{join .XTestImports " "}}`
	out, err := c.goCommand("list", "-f", format, "./...").Output()
	if err != nil {
		return nil, withStderr(err)
	}
	var list []pkg
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		imports := fields[2:]
		list = append(list, pkg{path: fields[0], dir: fields[1], mode: mode{
			rapid:    slices.Contains(imports, rapidPath),
			fakeTime: slices.ContainsFunc(imports, isFakeTimeImport),
		}, alone: strings.HasSuffix(fields[0], alonePath)})
	}
	return list, nil
}

func isFakeTimeImport(path string) bool {
	return slices.ContainsFunc(fakeTimePaths, func(p string) bool { return strings.HasSuffix(path, p) })
}

// runAlone runs the packages that are run one at a time.
func (c ci) runAlone(pkgs []pkg, known []entry) (results, error) {
	var total results
	for _, p := range pkgs {
		if !p.alone {
			continue
		}
		var flags []string
		if tests := knownRedTests(known, p.path); len(tests) > 0 {
			flags = []string{"-skip", exactPattern(tests)}
		}
		res, err := c.test([]string{p.path}, p.mode, flags...)
		if err != nil {
			return total, err
		}
		total.add(res)
	}
	return total, nil
}

// runExpectedToPass runs every test that is not known to fail, except those of
// packages that are run alone. A package that has
// known failures is run separately, because the pattern that excludes them would
// also exclude tests of the same name in other packages.
func (c ci) runExpectedToPass(pkgs []pkg, known []entry) (results, error) {
	var total results
	groups := map[mode][]string{}
	for _, p := range pkgs {
		if p.alone {
			continue
		}
		tests := knownRedTests(known, p.path)
		if len(tests) == 0 {
			groups[p.mode] = append(groups[p.mode], p.path)
			continue
		}
		res, err := c.test([]string{p.path}, p.mode, "-skip", exactPattern(tests))
		if err != nil {
			return total, err
		}
		total.add(res)
	}
	for _, m := range modes {
		if len(groups[m]) == 0 {
			continue
		}
		res, err := c.test(groups[m], m)
		if err != nil {
			return total, err
		}
		total.add(res)
	}
	return total, nil
}

// runRealTimeWithRace covers the packages that have tests under fake time. It
// runs their tests in real time a second time, with the race detector. Those
// tests count twice.
func (c ci) runRealTimeWithRace(pkgs []pkg, known []entry) (results, error) {
	var total results
	for _, rapid := range []bool{false, true} {
		var paths, skip []string
		for _, p := range pkgs {
			if !p.mode.fakeTime || p.mode.rapid != rapid {
				continue
			}
			fake, err := fakeTimeTests(p.dir)
			if err != nil {
				return total, err
			}
			paths = append(paths, p.path)
			skip = append(skip, fake...)
			skip = append(skip, knownRedTests(known, p.path)...)
		}
		if len(paths) == 0 {
			continue
		}
		res, err := c.test(paths, mode{rapid: rapid}, "-skip", exactPattern(skip))
		if err != nil {
			return total, err
		}
		total.add(res)
	}
	return total, nil
}

// runKnownRed runs each test that is known to fail separately and prints its
// result. It reports whether every entry matches a test.
func (c ci) runKnownRed(pkgs []pkg, known []entry) (bool, error) {
	ok := true
	for _, e := range known {
		i := slices.IndexFunc(pkgs, func(p pkg) bool { return p.path == e.pkg })
		if i < 0 {
			ok = false
			fmt.Fprintln(c.out, "KNOWN-RED entry matches no package:", e.text)
			continue
		}
		res, err := c.test([]string{e.pkg}, pkgs[i].mode, "-run", exactPattern([]string{e.test}))
		switch {
		case err != nil:
			return false, err
		case res.failed > 0 || (res.broken > 0 && res.passed == 0):
			fmt.Fprintln(c.out, "known red, still fails:", e.text)
		case res.passed > 0:
			fmt.Fprintln(c.out, "known red, but passes now:", e.text)
		default:
			ok = false
			fmt.Fprintln(c.out, "KNOWN-RED entry matches no test:", e.text)
		}
	}
	return ok, nil
}

// knownRedTests returns the names of the tests of a package that are known to
// fail.
func knownRedTests(known []entry, path string) []string {
	var tests []string
	for _, e := range known {
		if e.pkg == path {
			tests = append(tests, e.test)
		}
	}
	return tests
}

// exactPattern returns a regular expression that matches exactly the names of the
// tests.
func exactPattern(tests []string) string {
	return "^(" + strings.Join(tests, "|") + ")$"
}

// test runs go test on packages. A failed test is not an error.
func (c ci) test(paths []string, m mode, flags ...string) (results, error) {
	args := append([]string{"test", "-json", "-count=1", "-timeout", c.timeout}, flags...)
	if !m.fakeTime {
		args = append(args, "-race")
	}
	args = append(args, paths...)
	if m.rapid {
		args = append(args, "-rapid.seed="+strconv.Itoa(c.seed))
	}
	cmd := c.goCommand(args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return results{}, err
	}
	cmd.Stderr = c.out
	if err := cmd.Start(); err != nil {
		return results{}, err
	}
	res, readErr := readEvents(out, c.out)
	waitErr := cmd.Wait()
	if readErr != nil {
		return res, readErr
	}
	if waitErr != nil && res.ok() {
		res.broken++ // the command failed but reported no failure
	}
	return res, nil
}

func (c ci) goCommand(args ...string) *exec.Cmd {
	cmd := exec.Command("go", args...)
	cmd.Dir = c.dir
	return cmd
}

// withStderr adds the error output of the go command to err.
func withStderr(err error) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return fmt.Errorf("%w: %s", err, exit.Stderr)
	}
	return err
}
