package proctest

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

// applyPools applies a service with a pool in each data centre, for each of which
// the system orders at least min endpoints.
func (s *system) applyPools(in *instance, min int) {
	s.Helper()
	var pools []string
	for i := range s.instances {
		pools = append(pools, fmt.Sprintf(`{"data_centre": "dc-%d", "tier": "cheap", "min": %d, "max": 9}`, i+1, min))
	}
	s.ctl(in, fmt.Sprintf(`{"services": [{"name": "ordered", "type": "engine", "endpoints": "app=none", "pools": [%s]}]}`,
		strings.Join(pools, ",")), "apply", "-f", "-")
}

// platformRecord returns the requests that the platform recorded.
func (s *system) platformRecord() fakeplatform.Record {
	var r fakeplatform.Record
	s.control(s.platform, http.MethodGet, "/control/record", nil, &r)
	return r
}

// dataCentresWithOrder returns the number of data centres for which at least n
// endpoints were ordered.
func (s *system) dataCentresWithOrder(n int) int {
	ordered := map[string]bool{}
	for _, o := range s.platformRecord().Orders {
		if o.Count >= n {
			ordered[o.DataCentre] = true
		}
	}
	return len(ordered)
}

// leaseHolder returns the holder of the first lease in the status of observer.
func (s *system) leaseHolder(observer *instance) *instance {
	var leases []api.LeaseStatus
	s.waitFor("a lease is held", func() bool {
		leases = s.status(observer).Leases
		return len(leases) > 0 && leases[0].Holder != ""
	})
	for _, in := range s.instances {
		if in.name == leases[0].Holder {
			return in
		}
	}
	s.Fatalf("no instance has the name %s", leases[0].Holder)
	return nil
}

// TestDutiesChangeHands suspends and kills holders of leases while the store is slow
// and loses requests and responses. The platform must receive orders of one holder
// at a time, and never different reports of one usage window.
func TestDutiesChangeHands(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	load := s.startLoad(s.deploy())
	s.applyPools(s.instances[0], 1)
	s.waitFor("first orders", func() bool { return s.dataCentresWithOrder(1) == len(s.instances) })
	for round := range 3 {
		frozen := s.leaseHolder(s.instances[round])
		other := s.instances[0]
		if other == frozen {
			other = s.instances[1]
		}
		frozen.signal(syscall.SIGSTOP)
		s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{
			LoseResponses: 5, LoseRequests: 5, Slow: 50 * time.Millisecond, SlowResponse: 50 * time.Millisecond,
		}, nil)
		time.Sleep(freezeTime)
		s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{}, nil)
		s.applyPools(other, round+2)
		s.waitFor("orders by a successor", func() bool { return s.dataCentresWithOrder(round+2) == len(s.instances) })
		frozen.signal(syscall.SIGCONT)
	}
	s.leaseHolder(s.instances[0]).signal(syscall.SIGKILL)
	reportsAtKill := len(s.platformRecord().Reports)
	s.waitFor("reports after the kill", func() bool { return len(s.platformRecord().Reports) >= reportsAtKill+2 })
	if holders := s.checkOrders(); len(holders) < 2 {
		t.Errorf("orders came from holders %v; the test needs two", holders)
	}
	if _, windows := s.reportedRequests(); windows < 2 {
		t.Errorf("%d windows were reported; the test needs two", windows)
	}
	load.check()
}
