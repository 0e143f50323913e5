// Package proctest contains tests that run the daemon, the operators' tool and the
// fake endpoints and platform as separate processes connected over TCP. The tests
// kill, suspend and stop instances, and check the guarantees of the system from
// outside: by the responses that callers receive and the records of the fakes.
package proctest
