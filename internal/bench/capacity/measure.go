package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/view"
)

const (
	// services, teams and keysPerTeam describe the rest of the deployment. They
	// do not depend on the number of endpoints.
	services    = 20
	teams       = 100
	keysPerTeam = 10
	// reportsPerRound is the number of load reports that are applied together.
	reportsPerRound = 12
	// sampleTokens is the number of tokens in a sample, and groupSize the number
	// of samples in a group.
	sampleTokens = 512
	groupSize    = 8

	microseconds = 1e3
	kilobytes    = 1 << 10
	megabytes    = 1 << 20
)

var (
	endpointSizes = []float64{100, 200, 400, 800, 1600}
	sampleSizes   = []float64{512, 1024, 2048, 4096, 8192}
)

// measure returns the measured series in the order in which they are printed.
func measure() []*series {
	perEndpoint := func(name, unit string, f func(n int) float64) *series {
		return sweep(name, "endpoints", unit, endpointSizes, 1600, f)
	}
	return []*series{
		perEndpoint("configuration in memory", "MB", func(n int) float64 {
			return retainedHeap(func() any { return newStore(state(n)) }) / megabytes
		}),
		perEndpoint("configuration in JSON", "KB", func(n int) float64 {
			return float64(len(encode(state(n)))) / kilobytes
		}),
		perEndpoint("a change applied and installed", "us", applyTime),
		perEndpoint("a round of load reports", "us", loadReportTime),
		sweep("undelivered samples in memory", "samples", "MB", sampleSizes, 8192, func(n int) float64 {
			return retainedHeap(func() any { return fullLedger(n) }) / megabytes
		}),
	}
}

// sweep calls f for each size and returns the values as a series.
func sweep(name, axis, unit string, sizes []float64, target float64, f func(n int) float64) *series {
	s := &series{name: name, axis: axis, unit: unit, sizes: sizes, target: target}
	for _, size := range sizes {
		s.values = append(s.values, f(int(size)))
	}
	return s
}

// retainedHeap returns the number of heap bytes that the result of f retains.
func retainedHeap(f func() any) float64 {
	before := heapInUse()
	result := f()
	after := heapInUse()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// state returns a configuration with n endpoints.
func state(n int) *config.State {
	var o config.Objects
	for i := range teams {
		team := fmt.Sprintf("team-%d", i)
		o.Teams = append(o.Teams, config.Team{Meta: config.Meta{Name: team}})
		for k := range keysPerTeam {
			name := fmt.Sprintf("%s-key-%d", team, k)
			o.Keys = append(o.Keys, config.Key{Meta: config.Meta{Name: name}, Team: team, Digest: view.Digest(name)})
		}
	}
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		o.Services = append(o.Services, config.Service{
			Meta: config.Meta{Name: name}, Type: config.ServiceEngine, Endpoints: label.MustParse("app=" + name),
		})
	}
	for i := range n {
		o.Endpoints = append(o.Endpoints, config.Endpoint{
			Meta:       config.Meta{Name: fmt.Sprintf("endpoint-%d", i), Labels: label.Set{"app": fmt.Sprintf("service-%d", i%services), "tier": "cheap"}},
			DataCentre: fmt.Sprintf("dc-%d", i%10), Addr: "127.0.0.1:9000",
		})
	}
	s, err := config.NewState().Apply(config.Change{Version: 1, Put: o})
	if err != nil {
		panic(err)
	}
	return s
}

func encode(s *config.State) []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return data
}

func newStore(s *config.State) *view.Store {
	store := view.NewStore()
	store.Update(func(v *view.View) { v.SetConfig(s) })
	return store
}

// applyTime returns the time, in microseconds, to apply a change to a
// configuration with n endpoints and to install the result.
func applyTime(n int) float64 {
	s := state(n)
	store := newStore(s)
	change := config.Change{Version: s.Version + 1, Put: config.Objects{Teams: []config.Team{{Meta: config.Meta{Name: "team-0"}, Weight: 2}}}}
	return timePerCall(func() {
		next, err := s.Apply(change)
		if err != nil {
			panic(err)
		}
		store.Update(func(v *view.View) { v.SetConfig(next) })
	})
}

// loadReportTime returns the time, in microseconds, to store a round of load
// reports in a view with n endpoints.
func loadReportTime(n int) float64 {
	store := newStore(state(n))
	round := map[string]view.LoadReport{}
	for i := range reportsPerRound {
		round[fmt.Sprintf("endpoint-%d", i)] = view.LoadReport{At: time.Second}
	}
	return timePerCall(func() { store.Update(func(v *view.View) { v.SetLoad(round) }) })
}

// timePerCall returns the mean time of a call of f, in microseconds.
func timePerCall(f func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N) / microseconds
}

// fullLedger returns a ledger with n generated samples, none of which has been
// pulled.
func fullLedger(n int) *ledger.Ledger {
	groups := n / groupSize
	l := ledger.New(ledger.Config{Groups: groups, GroupSize: groupSize, MaxGroups: groups})
	for g := range groups {
		if err := l.Reserve(g); err != nil {
			panic(err)
		}
		for i := range groupSize {
			s := ledger.Sample{
				Slot: ledger.Slot{Group: g, Index: i}, Attempt: 1, Tokens: make([]int32, sampleTokens),
				Spans: []ledger.Span{{To: sampleTokens, Version: 1}}, Finish: "stop",
			}
			if err := l.Fill(0, s); err != nil {
				panic(err)
			}
		}
	}
	return l
}
