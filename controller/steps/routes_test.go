package steps_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/view"
)

const (
	route       = "rollouts"
	host        = "rollouts.example"
	nextService = "reader2"
)

// configure installs a configuration, in which the step's route leads to the targets,
// and the given replicas at some instances. Without targets there is no route.
func (cluster *testCluster) configure(version uint64, targets []config.RouteTarget, replicas []infra.Replica, names ...string) {
	for _, name := range names {
		state := config.NewState()
		state.Version = version
		for _, s := range []string{service, nextService} {
			state.Services[s] = config.Service{Meta: config.Meta{Name: s}, Type: config.ServiceEngine}
		}
		if len(targets) > 0 {
			state.Routes = []config.Route{{Name: route, Host: host, Path: "/train/", Kind: config.RouteRollout, Targets: targets}}
		}
		cluster.instances[name].views.Update(func(v *view.View) {
			v.SetConfig(state)
			v.SetReplicas(replicas)
		})
	}
}

func replica(name, service string, version uint64) infra.Replica {
	return infra.Replica{
		RunningEndpoint: infra.RunningEndpoint{Name: name, Service: service, Addr: "127.0.0.1:1", State: infra.EndpointRunning},
		Slots:           4, Weights: map[string]uint64{model: version},
	}
}

func to(services ...string) []config.RouteTarget {
	var targets []config.RouteTarget
	for _, s := range services {
		targets = append(targets, config.RouteTarget{Service: s, Weight: 1})
	}
	return targets
}

// routedSpec returns a step that was accepted under a version of the configuration.
func routedSpec(id string, samples int, version uint64) durable.Spec {
	s := spec(id, samples)
	s.Route, s.Host, s.ConfigVersion = route, host, version
	for i := range s.Samples {
		s.Samples[i].Path = "/train/1"
	}
	return s
}

// TestStepFollowsItsRoute guards against review/3: the route moves to another service
// and the former one's engine leaves, and the samples of accepted steps are never run
// again. The owner may die just then.
func TestStepFollowsItsRoute(t *testing.T) {
	for name, killed := range map[string]bool{"owner lives": false, "owner dies": true} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				names := []string{"a", "b", "c"}
				cluster := newMemberCluster(t, names...)
				defer cluster.stopAll()
				both := []infra.Replica{replica("e1", service, 1), replica("e2", nextService, 1)}
				cluster.configure(1, to(service), both, names...)
				const samples = 12
				cluster.mustAccept(cluster.instances["a"], routedSpec("s", samples, 1))
				time.Sleep(time.Second)
				owner := cluster.runnersOf(names, []string{"s"})["s"]
				cluster.configure(2, to(nextService), both, names...)
				if killed {
					cluster.kill(owner)
					names = slices.DeleteFunc(names, func(n string) bool { return n == owner })
				}
				time.Sleep(time.Second)
				cluster.engines.end("e1")
				cluster.configure(2, to(nextService), both[1:], names...)
				cluster.mustRead(cluster.instances[names[0]], "s", samples, time.Minute)
			})
		})
	}
}

// TestNoStreamStartsAtTheFormerService checks that samples start where the route leads,
// also while the former service has engines, and that streams that run are not cut.
func TestNoStreamStartsAtTheFormerService(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a")
		defer cluster.stopAll()
		both := []infra.Replica{replica("e1", service, 1), replica("e2", nextService, 1)}
		cluster.configure(1, to(service), both, "a")
		const samples = 12
		cluster.mustAccept(cluster.instances["a"], routedSpec("s", samples, 1))
		time.Sleep(time.Second)
		cluster.configure(2, to(nextService), both, "a")
		cluster.mustRead(cluster.instances["a"], "s", samples, time.Minute)
		count := map[string]int{}
		for _, s := range spec("s", samples).Samples {
			list := cluster.engines.endpointsOf(s.ID)
			if len(list) != 1 {
				t.Errorf("%s was started at %v, want a single start", s.ID, list)
			}
			count[list[0]]++
		}
		if count["e1"] != 4 || count["e2"] != samples-4 {
			t.Errorf("samples started at %v, want the first 4 at e1 and the others at e2", count)
		}
	})
}

// TestRemovedRoute checks that the samples of a step whose route was removed are
// abandoned, but for those that run, and that a route that comes back in time or a
// configuration that is older than the step abandons none.
func TestRemovedRoute(t *testing.T) {
	for _, c := range []struct {
		name     string
		accepted uint64 // version of the configuration
		restored time.Duration
		want     int // complete results
	}{
		{"removed", 1, 0, 4},
		{"restored", 1, time.Second, 12},
		{"older configuration", 5, 0, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t, "a")
				defer cluster.stopAll()
				replicas := []infra.Replica{replica("e1", service, 1)}
				cluster.configure(1, to(service), replicas, "a")
				cluster.mustAccept(cluster.instances["a"], routedSpec("s", 12, c.accepted))
				time.Sleep(time.Second)
				cluster.configure(2, nil, replicas, "a")
				if c.restored > 0 {
					time.Sleep(c.restored)
					cluster.configure(3, to(service), replicas, "a")
				}
				all := cluster.read(cluster.instances["a"], "s", 12, time.Minute)
				complete := 0
				for _, r := range all {
					if r.Complete {
						complete++
					}
				}
				if len(all) != 12 || complete != c.want {
					t.Errorf("%d results, %d of them complete, want 12 and %d", len(all), complete, c.want)
				}
			})
		})
	}
}

// TestServiceOfStep checks which service's engine runs a step's samples, by the targets
// of its route and the engines' weight versions.
func TestServiceOfStep(t *testing.T) {
	for _, c := range []struct {
		name     string
		targets  []config.RouteTarget
		replicas []infra.Replica
		want     string
	}{
		{"split", to(nextService, service), []infra.Replica{replica("e1", service, 1), replica("e2", nextService, 1)}, "e1"},
		{"former service without engine", to(nextService, service), []infra.Replica{replica("e2", nextService, 1)}, "e2"},
		{"former service with old weights", to(nextService, service), []infra.Replica{replica("e1", service, 1), replica("e2", nextService, 2)}, "e2"},
		{"moved twice", to(nextService), []infra.Replica{replica("e2", nextService, 2)}, "e2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t, "a")
				defer cluster.stopAll()
				cluster.configure(2, c.targets, c.replicas, "a")
				s := routedSpec("s", 1, 1)
				if c.replicas[len(c.replicas)-1].Weights[model] == 2 {
					s.MinVersion = 2
				}
				cluster.mustAccept(cluster.instances["a"], s)
				time.Sleep(time.Second)
				if got := slices.Compact(cluster.engines.endpointsOf("s-0")); len(got) != 1 || got[0] != c.want {
					t.Errorf("sample started at %v, want %s", got, c.want)
				}
			})
		})
	}
}
