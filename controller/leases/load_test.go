//go:build !race

// The race detector of Go 1.26 fails (CHECK failed: tsan_rtl.cpp:346) with
// this many goroutines in a synctest bubble. The test only measures; what it
// exercises is checked by other tests.

package leases_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/controller/leases"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

var instances = flag.Int("instances", 128, "instances in TestStoreLoad")

// TestStoreLoad measures the rate of calls that leases make to the table.
func TestStoreLoad(t *testing.T) {
	for _, c := range []struct{ instances, duties int }{{10, 4}, {*instances, 11}} {
		synctest.Test(t, func(t *testing.T) {
			const span = 20 * time.Second
			s := &system{fake: fakeplatform.New(fakeplatform.Options{})}
			for range c.instances {
				s.add(t, leases.Options{Duration: 5 * time.Second}, c.duties)
			}
			s.setMembers(s.instances)
			time.Sleep(30 * time.Second)
			before := s.fake.Record()
			time.Sleep(span)
			after := s.fake.Record()
			s.stopAll()
			t.Logf("%d instances, %d duties: %.1f reads and %.1f writes a second", c.instances, c.duties,
				float64(after.Reads-before.Reads)/span.Seconds(), float64(after.Writes-before.Writes)/span.Seconds())
		})
	}
}
