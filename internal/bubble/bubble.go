// Package bubble runs tests under fake time, in a synctest bubble.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test calls synctest.Test with GOMAXPROCS set to 1. With several processors, the
// runtime of the race detector in Go 1.26.8 crashes occasionally (ThreadSanitizer:
// CHECK failed, or SIGSEGV) in tests with many timers, independent of what the test
// does. Races are still detected, because the detector uses the happens-before order
// of events and not their time.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	synctest.Test(t, f)
}
