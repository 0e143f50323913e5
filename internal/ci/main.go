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

// bubblePaths are the imports of tests under fake time.
var bubblePaths = []string{"testing/synctest", "/internal/bubble"}

func main() {
	seed := flag.Int("seed", 20261203, "seed for rapid")
	timeout := flag.String("timeout", "20m", "time for the tests of one package")
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

// ci is one run over the module in dir.
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
}

// mode is how a package's tests are run.
type mode struct {
	// rapid tests take a seed.
	rapid bool
	// bubble tests run under fake time. They are run without the race
	// detector, whose runtime crashes now and then inside a bubble (Go 1.26:
	// "ThreadSanitizer: CHECK failed", or a fault in goroutine 0).
	bubble bool
}

var modes = []mode{{}, {rapid: true}, {bubble: true}, {rapid: true, bubble: true}}

// run executes all tests and reports whether the verdict is good.
func (c ci) run() (bool, error) {
	module, err := c.command("list", "-m").Output()
	if err != nil {
		return false, explain(err)
	}
	known, err := readKnownRed(c.dir+"/"+knownRedFile, strings.TrimSpace(string(module)))
	if err != nil {
		return false, err
	}
	pkgs, err := c.packages()
	if err != nil {
		return false, err
	}
	total, err := c.runAll(pkgs, known)
	if err != nil {
		return false, err
	}
	raced, err := c.runRaced(pkgs, known)
	if err != nil {
		return false, err
	}
	total.add(raced)
	knownOK, err := c.runKnown(pkgs, known)
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

func (c ci) packages() ([]pkg, error) {
	const format = `{{.ImportPath}} {{.Dir}} {{join .TestImports " "}} {{join .XTestImports " "}}`
	out, err := c.command("list", "-f", format, "./...").Output()
	if err != nil {
		return nil, explain(err)
	}
	var list []pkg
	for line := range strings.Lines(string(out)) {
		words := strings.Fields(line)
		imports := words[2:]
		list = append(list, pkg{path: words[0], dir: words[1], mode: mode{
			rapid:  slices.Contains(imports, rapidPath),
			bubble: slices.ContainsFunc(imports, underFakeTime),
		}})
	}
	return list, nil
}

func underFakeTime(path string) bool {
	return slices.ContainsFunc(bubblePaths, func(p string) bool { return strings.HasSuffix(path, p) })
}

// runAll runs every test that is not known to fail. Packages that have such
// tests run by themselves, because the tests to leave out are named by a
// pattern that would hold for other packages too.
func (c ci) runAll(pkgs []pkg, known []entry) (results, error) {
	var total results
	groups := map[mode][]string{}
	for _, p := range pkgs {
		tests := knownIn(known, p.path)
		if len(tests) == 0 {
			groups[p.mode] = append(groups[p.mode], p.path)
			continue
		}
		res, err := c.test([]string{p.path}, p.mode, "-skip", exactly(tests))
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

// runRaced runs the tests in real time of packages that have tests under fake
// time too once more, with the race detector. They count twice.
func (c ci) runRaced(pkgs []pkg, known []entry) (results, error) {
	var total results
	for _, rapid := range []bool{false, true} {
		var paths, skip []string
		for _, p := range pkgs {
			if !p.mode.bubble || p.mode.rapid != rapid {
				continue
			}
			fake, err := fakeTimeTests(p.dir)
			if err != nil {
				return total, err
			}
			paths = append(paths, p.path)
			skip = append(skip, fake...)
			skip = append(skip, knownIn(known, p.path)...)
		}
		if len(paths) == 0 {
			continue
		}
		res, err := c.test(paths, mode{rapid: rapid}, "-skip", exactly(skip))
		if err != nil {
			return total, err
		}
		total.add(res)
	}
	return total, nil
}

// runKnown runs each test that is known to fail by itself and prints its
// result. It reports whether every entry matches a test.
func (c ci) runKnown(pkgs []pkg, known []entry) (bool, error) {
	ok := true
	for _, e := range known {
		i := slices.IndexFunc(pkgs, func(p pkg) bool { return p.path == e.pkg })
		if i < 0 {
			ok = false
			fmt.Fprintln(c.out, "KNOWN-RED entry matches no package:", e.text)
			continue
		}
		res, err := c.test([]string{e.pkg}, pkgs[i].mode, "-run", exactly([]string{e.test}))
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

func knownIn(known []entry, path string) []string {
	var tests []string
	for _, e := range known {
		if e.pkg == path {
			tests = append(tests, e.test)
		}
	}
	return tests
}

func exactly(tests []string) string {
	return "^(" + strings.Join(tests, "|") + ")$"
}

// test runs go test on packages. A failed test is no error.
func (c ci) test(paths []string, m mode, flags ...string) (results, error) {
	args := append([]string{"test", "-json", "-count=1", "-timeout", c.timeout}, flags...)
	if !m.bubble {
		args = append(args, "-race")
	}
	args = append(args, paths...)
	if m.rapid {
		args = append(args, "-rapid.seed="+strconv.Itoa(c.seed))
	}
	cmd := c.command(args...)
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
		res.broken++ // the command failed and said nothing of it
	}
	return res, nil
}

func (c ci) command(args ...string) *exec.Cmd {
	cmd := exec.Command("go", args...)
	cmd.Dir = c.dir
	return cmd
}

// explain adds what the go command said.
func explain(err error) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return fmt.Errorf("%w: %s", err, exit.Stderr)
	}
	return err
}
