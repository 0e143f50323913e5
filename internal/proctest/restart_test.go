package proctest

import (
	"net/http"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

// restartAll kills all instances and starts them with what the store has.
func (s *system) restartAll() {
	s.Helper()
	for _, in := range s.instances {
		s.kill(in)
	}
	for _, in := range s.instances {
		s.launch(in)
	}
	s.untilReady()
}

// TestAllRestartedMidStep: no sample is lost or doubled when every instance
// dies in the middle of a step, twice.
func TestAllRestartedMidStep(t *testing.T) {
	s := start(t, 3, standins...)
	tr := s.train(s.instances[0], s.deploy())
	tr.pullSome(s.instances[0], stepGroups*stepSamples/4)
	tr.pull(s.instances[0], true)
	s.restartAll()
	tr.pullSome(s.instances[1], stepGroups*stepSamples/2)
	s.restartAll()
	tr.finish(s.instances[2])
}

// TestStaleSamplesAreMadeAgain: a step's samples wait while the weights are
// swapped twice, which is once more than they may lag. None of them is
// delivered, and the step becomes whole with others.
func TestStaleSamplesAreMadeAgain(t *testing.T) {
	s := start(t, 3, standins...)
	key := s.deploy()
	before := s.total(s.engines...)
	tr := s.train(s.instances[0], key)
	const all = stepGroups * stepSamples
	s.until("the whole step runs", func() bool { return s.total(s.engines...)-before >= all })
	time.Sleep(freeze / 4) // samples become whole
	tr.publish(s.instances[1], 2)
	tr.publish(s.instances[1], 3)
	tr.pullSome(s.instances[2], all/2)
	tr.finish(s.instances[0])
	if n := s.total(s.engines...) - before; n < 2*all {
		t.Errorf("%d runs for %d samples; the test needs stale ones", n, all)
	}
}

// TestStartFromSnapshot: once the log of the configuration is cut, instances
// that know nothing start from the object store.
func TestStartFromSnapshot(t *testing.T) {
	const changes = 500 // between two snapshots
	s := start(t, 3, standins...)
	key := s.deploy()
	client := &api.Client{BaseURL: "http://" + s.instances[0].operators, Operator: "busy", HTTP: &http.Client{}}
	var snapshot struct{ Version, Previous uint64 }
	for last := uint64(0); snapshot.Previous == 0; last = snapshot.Version {
		(&operator{s: s, client: client, team: "busy"}).run(changes)
		s.until("a snapshot", func() bool {
			s.row("config/snapshot", &snapshot)
			return snapshot.Version > last
		})
	}
	s.until("the log is cut", func() bool {
		row := infra.Row{}
		s.control(s.platform, http.MethodGet, "/control/row?key=config/log/00000000000000000001", nil, &row)
		return row.Version == 0
	})
	version := s.status(s.instances[0]).Version
	s.restartAll()
	for _, in := range s.instances {
		s.until("as before at "+in.name, func() bool { return s.status(in).Version >= version })
		if r, _ := generate(in, key, "after the start "+in.name, 1); !r.whole {
			t.Errorf("%s answers %+v", in.name, r)
		}
	}
}

// TestStartFromPeers: an instance starts while the platform is down, with what
// its peers know, also of changes that were made while it was away.
func TestStartFromPeers(t *testing.T) {
	s := start(t, 3, standins...)
	key := s.deploy()
	away := s.instances[2]
	s.kill(away)
	s.ctl(s.instances[0], `{"teams": [{"name": "later"}]}`, "apply", "-f", "-")
	version := s.status(s.instances[0]).Version
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{Down: true}, nil)
	s.launch(away)
	s.until("the instance serves", func() bool {
		r, _ := generate(away, key, "without the platform", 1)
		return r.whole
	})
	if got := s.status(away).Version; got < version {
		t.Errorf("version %d in the outage, want %d", got, version)
	}
}
