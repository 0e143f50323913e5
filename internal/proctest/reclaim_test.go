package proctest

import (
	"net/http"
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
)

const (
	// replaceWithin is how soon others are ordered for reclaimed endpoints, and
	// leaveWithin how soon these get nothing new.
	replaceWithin = time.Second
	leaveWithin   = 3 * time.Second
)

// endpointsIn returns the addresses of what the platform has in a data centre,
// and how many of them run.
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

// orderedOutside adds up the last orders for data centres other than one.
func (s *system) orderedOutside(dataCentre string) int {
	n, last := 0, map[string]int{}
	for _, o := range s.record().Orders {
		if o.DataCentre != dataCentre {
			n, last[o.DataCentre] = n+o.Count-last[o.DataCentre], o.Count
		}
	}
	return n
}

// checkReplaced waits for more orders outside a data centre than before. The
// time by which a busy machine wakes this process late doesn't count.
func (s *system) checkReplaced(dataCentre string, before int) {
	s.Helper()
	started, late := time.Now(), time.Duration(0)
	for s.orderedOutside(dataCentre) <= before && time.Since(started) < 10*replaceWithin {
		asleep := time.Now()
		time.Sleep(poll)
		late += time.Since(asleep) - poll
	}
	took := time.Since(started)
	s.Logf("replacements were ordered after %v, of which the machine was late by %v", took, late)
	if took-late > replaceWithin {
		s.Errorf("replacements were ordered after %v", took-late)
	}
}

// TestReclaimedEndpoints: the platform reclaims a data centre's endpoints under
// load and in the middle of a step.
func TestReclaimedEndpoints(t *testing.T) {
	s := start(t, 3, standins...)
	key := s.deploy()
	s.ctl(s.instances[0], `{"services": [{"name": "tagger", "type": "engine", "endpoints": "app=none", "pools": [
		{"data_centre": "dc-1", "tier": "cheap", "min": 2, "max": 4},
		{"data_centre": "dc-2", "tier": "cheap", "max": 4}, {"data_centre": "dc-3", "tier": "ondemand", "max": 4}]}]}`,
		"apply", "-f", "-", "--wait", "30s")
	load := s.call(key)
	s.until("a reserve", func() bool { return s.orderedOutside("dc-1") > 0 })
	tr := s.train(s.instances[0], key)
	tr.pullSome(s.instances[0], stepGroups*stepSamples/4)
	reclaimed, _ := s.endpointsIn("dc-1")
	notice, reserve := time.Now(), s.orderedOutside("dc-1")
	s.control(s.platform, http.MethodPost, "/control/reclaim",
		infra.RunningEndpoint{DataCentre: "dc-1", Tier: "cheap", ReclaimIn: patience}, nil)
	s.checkReplaced("dc-1", reserve)
	time.Sleep(time.Until(notice.Add(leaveWithin)))
	before := s.total(reclaimed...)
	tr.pullSome(s.instances[1], stepGroups*stepSamples*3/4)
	time.Sleep(freeze / 4)
	if after := s.total(reclaimed...); after != before || before == 0 {
		t.Errorf("reclaimed endpoints ran %d requests, %d of them new", after, after-before)
	}
	tr.finish(s.instances[2])
	for _, dataCentre := range []string{"dc-1", "dc-2", "dc-3"} {
		addrs, _ := s.endpointsIn(dataCentre)
		s.engines = append(s.engines, addrs...)
	}
	load.check()
	load.checkNoCuts()
}
