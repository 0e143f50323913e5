package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/label"
)

// benchServices is the number of services that share the endpoints.
const benchServices = 20

func stateOf(endpoints int) *config.State {
	s := config.NewState()
	for i := range benchServices {
		name := fmt.Sprintf("service-%d", i)
		s.Services[name] = config.Service{
			Meta: config.Meta{Name: name}, Type: config.ServiceEngine,
			Endpoints: label.MustParse("app=" + name),
		}
	}
	for i := range endpoints {
		name := fmt.Sprintf("endpoint-%d", i)
		s.Endpoints[name] = config.Endpoint{
			Meta:       config.Meta{Name: name, Labels: label.Set{"app": fmt.Sprintf("service-%d", i%benchServices)}},
			DataCentre: fmt.Sprintf("dc-%d", i%10), Addr: "127.0.0.1:1",
		}
	}
	return s
}

// BenchmarkConfigBySize measures the cost of installing a configuration by the
// number of endpoints.
func BenchmarkConfigBySize(b *testing.B) {
	for _, n := range []int{10, 100, 400, 800, 1600} {
		s := stateOf(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			store := NewStore()
			for b.Loop() {
				store.Update(func(v *View) { v.SetConfig(s) })
			}
		})
	}
}

// BenchmarkLoadBySize measures the cost of installing twelve load reports by the
// number of endpoints.
func BenchmarkLoadBySize(b *testing.B) {
	for _, n := range []int{10, 100, 400, 800, 1600} {
		s := stateOf(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			store := NewStore()
			store.Update(func(v *View) { v.SetConfig(s) })
			reports := map[string]LoadReport{}
			for i := range 12 {
				reports[fmt.Sprintf("endpoint-%d", i)] = LoadReport{At: time.Second}
			}
			for b.Loop() {
				store.Update(func(v *View) { v.SetLoad(reports) })
			}
		})
	}
}

// TestLoadKeepsPositions checks that SetLoad keeps the order and the counters
// of the endpoints and does not change a published View, and that SetConfig
// keeps the load reports.
func TestLoadKeepsPositions(t *testing.T) {
	store := NewStore()
	store.Update(func(v *View) { v.SetConfig(stateOf(40)) })
	before := store.Load()
	store.Update(func(v *View) {
		v.SetLoad(map[string]LoadReport{"endpoint-3": {At: time.Second, OwnInFlight: 7}, "gone": {}})
	})
	after := store.Load()
	for service, list := range before.Endpoints {
		for i, e := range list {
			got := after.Endpoints[service][i]
			if got.Name != e.Name || got.Stats != e.Stats {
				t.Errorf("%s at %d: got %s, want %s with its counters", service, i, got.Name, e.Name)
			}
			if want := map[string]int{"endpoint-3": 7}[e.Name]; got.OwnInFlightAtLoad != want {
				t.Errorf("%s: got %d own requests at the report, want %d", e.Name, got.OwnInFlightAtLoad, want)
			}
		}
	}
	if before.byName["endpoint-3"].OwnInFlightAtLoad != 0 {
		t.Error("SetLoad changed a published View")
	}
	store.Update(func(v *View) { v.SetConfig(stateOf(40)) })
	if e, _ := store.Load().EndpointByName("endpoint-3"); e.OwnInFlightAtLoad != 7 {
		t.Error("SetConfig discarded the load reports")
	}
}
