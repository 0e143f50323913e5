package proctest

import (
	"net/http"
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
)

const (
	// replacementBound is the time within which replacements of reclaimed endpoints
	// must be ordered.
	replacementBound = time.Second
	// leavingBound is the time within which reclaimed endpoints must stop receiving
	// new requests.
	leavingBound = 3 * time.Second
)

// endpointsIn returns the addresses of the platform's endpoints in a data centre,
// and the number of those that run.
func (s *system) endpointsIn(dataCentre string) (addrs []string, running int) {
	var list struct{ Endpoints []infra.RunningEndpoint }
	s.control(s.platform, http.MethodGet, "/v1/endpoints?data_centre="+dataCentre, nil, &list)
	for _, e := range list.Endpoints {
		addrs = append(addrs, e.Addr)
		if e.State == infra.EndpointRunning {
			running++
		}
	}
	return addrs, running
}

// endpointsOrderedOutside returns the sum of the last orders for all data centres
// except dataCentre.
func (s *system) endpointsOrderedOutside(dataCentre string) int {
	n, last := 0, map[string]int{}
	for _, o := range s.platformRecord().Orders {
		if o.DataCentre != dataCentre {
			n, last[o.DataCentre] = n+o.Count-last[o.DataCentre], o.Count
		}
	}
	return n
}

// checkReplaced waits until more endpoints than before are ordered outside a data
// centre, and checks that this happens within replacementBound. It subtracts the
// time by which a busy machine wakes this process late.
func (s *system) checkReplaced(dataCentre string, before int) {
	s.Helper()
	started, late := time.Now(), time.Duration(0)
	for s.endpointsOrderedOutside(dataCentre) <= before && time.Since(started) < 10*replacementBound {
		sleepStart := time.Now()
		time.Sleep(pollPeriod)
		late += time.Since(sleepStart) - pollPeriod
	}
	took := time.Since(started)
	s.Logf("replacements were ordered after %v, which includes %v of late wake-ups", took, late)
	if took-late > replacementBound {
		s.Errorf("replacements were ordered after %v", took-late)
	}
}

// TestReclaimedEndpoints lets the platform reclaim a data centre's endpoints under
// load and in the middle of a step. Replacements must be ordered, the reclaimed
// endpoints must receive no new requests, and no request may be interrupted.
func TestReclaimedEndpoints(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	key := s.deploy()
	s.ctl(s.instances[0], `{"services": [{"name": "tagger", "type": "engine", "endpoints": "app=none", "pools": [
		{"data_centre": "dc-1", "tier": "cheap", "min": 2, "max": 4},
		{"data_centre": "dc-2", "tier": "cheap", "max": 4}, {"data_centre": "dc-3", "tier": "ondemand", "max": 4}]}]}`,
		"apply", "-f", "-", "--wait", "30s")
	load := s.startLoad(key)
	s.waitFor("a reserve outside dc-1", func() bool { return s.endpointsOrderedOutside("dc-1") > 0 })
	tr := s.startTrainer(s.instances[0], key)
	tr.pullUntil(s.instances[0], stepGroups*stepSamples/4)
	reclaimed, _ := s.endpointsIn("dc-1")
	reclaimedAt, reserve := time.Now(), s.endpointsOrderedOutside("dc-1")
	s.control(s.platform, http.MethodPost, "/control/reclaim",
		infra.RunningEndpoint{DataCentre: "dc-1", Tier: "cheap", ReclaimIn: waitTimeout}, nil)
	s.checkReplaced("dc-1", reserve)
	time.Sleep(time.Until(reclaimedAt.Add(leavingBound)))
	before := s.totalRuns(reclaimed...)
	tr.pullUntil(s.instances[1], stepGroups*stepSamples*3/4)
	time.Sleep(freezeTime / 4)
	if after := s.totalRuns(reclaimed...); after != before || before == 0 {
		t.Errorf("reclaimed endpoints ran %d requests, %d of them new", after, after-before)
	}
	tr.finish(s.instances[2])
	for _, dataCentre := range []string{"dc-1", "dc-2", "dc-3"} {
		addrs, _ := s.endpointsIn(dataCentre)
		s.engines = append(s.engines, addrs...)
	}
	load.check()
	load.checkNoneInterrupted()
}
