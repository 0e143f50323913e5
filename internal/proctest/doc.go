// Package proctest contains tests that run the daemon, the operators' tool and the
// fake endpoints and platform as separate processes connected over TCP. The tests
// kill, suspend and stop instances, and check from outside what must always hold.
package proctest
