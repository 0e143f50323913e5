package proctest

import (
	"net/http"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

// restartAll kills all instances and starts them again. Only the store keeps
// their state.
func (s *system) restartAll() {
	s.Helper()
	for _, in := range s.instances {
		s.kill(in)
	}
	for _, in := range s.instances {
		s.launch(in)
	}
	s.waitReady()
}

// TestAllRestartedMidStep kills and restarts all instances twice in the middle of a
// step. No sample may be lost or delivered twice.
func TestAllRestartedMidStep(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	tr := s.startTrainer(s.instances[0], s.deploy())
	tr.pullUntil(s.instances[0], stepGroups*stepSamples/4)
	tr.pull(s.instances[0], true)
	s.restartAll()
	tr.pullUntil(s.instances[1], stepGroups*stepSamples/2)
	s.restartAll()
	tr.finish(s.instances[2])
}

// TestStaleSamplesAreMadeAgain publishes two weight versions while the samples of a
// step wait for the trainer. This exceeds the staleness bound by one version, so
// none of these samples may be delivered. The step must be completed with new ones.
func TestStaleSamplesAreMadeAgain(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	key := s.deploy()
	before := s.totalRuns(s.engines...)
	tr := s.startTrainer(s.instances[0], key)
	const all = stepGroups * stepSamples
	s.waitFor("a run of each sample", func() bool { return s.totalRuns(s.engines...)-before >= all })
	time.Sleep(freezeTime / 4) // samples complete
	tr.publish(s.instances[1], 2)
	tr.publish(s.instances[1], 3)
	tr.pullUntil(s.instances[2], all/2)
	tr.finish(s.instances[0])
	if n := s.totalRuns(s.engines...) - before; n < 2*all {
		t.Errorf("%d runs for %d samples; the test needs stale samples", n, all)
	}
}

// TestStartFromSnapshot checks that instances without any state start from the
// snapshot in the object store after the configuration log was trimmed.
func TestStartFromSnapshot(t *testing.T) {
	const changes = 500 // the number of changes between two snapshots
	s := start(t, 3, fakeArgs...)
	key := s.deploy()
	client := &api.Client{BaseURL: "http://" + s.instances[0].operators, Operator: "busy", HTTP: &http.Client{}}
	var snapshot struct{ Version, Previous uint64 }
	for last := uint64(0); snapshot.Previous == 0; last = snapshot.Version {
		(&operator{s: s, client: client, team: "busy"}).makeChanges(changes)
		s.waitFor("a snapshot", func() bool {
			s.readRow("config/snapshot", &snapshot)
			return snapshot.Version > last
		})
	}
	s.waitFor("the trimmed log", func() bool {
		row := infra.Row{}
		s.control(s.platform, http.MethodGet, "/control/row?key=config/log/00000000000000000001", nil, &row)
		return row.Version == 0
	})
	version := s.status(s.instances[0]).Version
	s.restartAll()
	for _, in := range s.instances {
		s.waitFor("the configuration at "+in.name, func() bool { return s.status(in).Version >= version })
		if r, _ := generate(in, key, "after the start "+in.name, 1); !r.complete {
			t.Errorf("a request to %s ended as %+v", in.name, r)
		}
	}
}

// TestStartFromPeers starts an instance while the platform is down. The instance
// must get the configuration from its peers, with the changes that were made while
// it was not running.
func TestStartFromPeers(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	key := s.deploy()
	stopped := s.instances[2]
	s.kill(stopped)
	s.ctl(s.instances[0], `{"teams": [{"name": "later"}]}`, "apply", "-f", "-")
	version := s.status(s.instances[0]).Version
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{Down: true}, nil)
	s.launch(stopped)
	s.waitFor("a complete response from the instance", func() bool {
		r, _ := generate(stopped, key, "without the platform", 1)
		return r.complete
	})
	if got := s.status(stopped).Version; got < version {
		t.Errorf("version %d during the outage, want at least %d", got, version)
	}
}
