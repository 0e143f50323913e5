// Command ci runs all tests of the module and decides the verdict of continuous
// integration.
//
// Tests run with the race detector, but for packages that have tests under fake
// time, whose bubbles its runtime does not bear. Of those packages the tests in
// real time are run once more, with the race detector, and count twice.
//
// Packages that use rapid get its seed, so that a run can be repeated. Tests
// named in KNOWN-RED.txt are run each by itself and their results printed, but
// they don't decide the verdict. The file has an entry a line:
//
//	package TestName | command and seed | what was seen | issue
//
// The package is given relative to the module, and the test is a top-level
// one; its subtests go with it. Empty lines and lines that start with # don't
// count. An entry that no test matches fails the run, and so does a test that
// skips itself.
package main
