package view

import (
	"testing"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
)

// TestReplicaWithoutService guards against review/2: an endpoint that registers itself
// without a service belongs to no service, also where services select all labels.
func TestReplicaWithoutService(t *testing.T) {
	state := config.NewState()
	for _, name := range []string{"app", "lm"} {
		state.Services[name] = config.Service{Meta: config.Meta{Name: name}}
	}
	replica := func(name, service string) infra.Replica {
		return infra.Replica{RunningEndpoint: infra.RunningEndpoint{Name: name, Service: service, State: infra.EndpointRunning}}
	}
	store := NewStore()
	store.Update(func(v *View) {
		v.SetConfig(state)
		v.SetReplicas([]infra.Replica{replica("e1", "app"), replica("e2", "")})
	})
	for service, want := range map[string]int{"app": 1, "lm": 0} {
		if got := len(store.Load().Endpoints[service]); got != want {
			t.Errorf("service %s has %d endpoints, want %d", service, got, want)
		}
	}
}
