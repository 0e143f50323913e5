// Command ci runs all tests of the module and determines whether continuous
// integration passes.
//
// Tests run with the race detector, except in packages that have tests under fake
// time, because the detector's runtime can crash in their synctest bubbles. From
// those packages, the tests in real time are run a second time, with the race
// detector, and count twice.
//
// Packages whose path ends in /crowdtest are run after the others, one at a time,
// because their tests measure processes.
//
// Packages that use rapid are run with the seed of the -seed flag, so that a run
// can be repeated. Each test listed in KNOWN-RED.txt is run separately. Its
// result is printed but does not affect whether the run passes. The file has one
// entry per line:
//
//	package TestName | command and seed | what was seen | issue
//
// The package is relative to the module. The test must be a top-level test; the
// entry includes its subtests. Empty lines and lines that start with # are
// ignored. The run fails if an entry matches no test or if a test skips itself.
package main
