package view

import (
	"maps"
	"slices"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/label"
)

// Labels of the endpoints that the platform runs for the system. They are set
// by this package.
const (
	LabelService    = "service"
	LabelTier       = "tier"
	LabelDataCentre = "data_centre"
)

// SetRunning replaces the endpoints that the platform runs for the system. It
// must only be called within Store.Update.
func (v *View) SetRunning(running []infra.RunningEndpoint) {
	v.running = running
	v.resolve()
}

// SetReplicas replaces the endpoints that registered themselves. It must only be
// called within Store.Update.
func (v *View) SetReplicas(replicas []infra.Replica) {
	v.replicas, v.replicasRead = replicas, true
	v.resolve()
}

// ReplicasRead reports whether SetReplicas was called.
func (v *View) ReplicasRead() bool { return v.replicasRead }

// SetEvacuated replaces the set of data centres that are evacuated. Their endpoints
// count as leaving. It must only be called within Store.Update.
func (v *View) SetEvacuated(dataCentres map[string]bool) {
	v.evacuated = dataCentres
	v.resolve()
}

// Evacuated reports whether a data centre is evacuated.
func (v *View) Evacuated(dataCentre string) bool { return v.evacuated[dataCentre] }

// EvacuatedDataCentres returns the data centres of the last SetEvacuated. The map must
// not be modified.
func (v *View) EvacuatedDataCentres() map[string]bool { return v.evacuated }

// Replicas returns the endpoints of the last SetReplicas. They must not be
// modified.
func (v *View) Replicas() []infra.Replica { return v.replicas }

// maxMarkedLeaving is the number of marks by SetLeaving from which on the marks
// of endpoints that no longer exist are removed.
const maxMarkedLeaving = 1_024

// SetLeaving marks an endpoint as leaving until it has restarted, even if its
// configuration or registration does not state that it is leaving. It must only
// be called within Store.Update.
func (v *View) SetLeaving(name string) {
	e, ok := v.byName[name]
	if !ok || e.Leaving {
		return
	}
	v.markedLeaving = maps.Clone(v.markedLeaving)
	if len(v.markedLeaving) >= maxMarkedLeaving {
		maps.DeleteFunc(v.markedLeaving, func(name string, _ int64) bool { return v.byName[name] == nil })
	}
	if v.markedLeaving == nil {
		v.markedLeaving = map[string]int64{}
	}
	v.markedLeaving[name] = e.Incarnation
	v.resolve()
}

// SetLoad installs new load reports, by endpoint name. It must only be called
// within Store.Update.
//
// The assignment of endpoints to services does not depend on load, so SetLoad
// does not resolve it again: it only replaces the endpoints with a report by
// updated copies, at the same positions in the lists.
func (v *View) SetLoad(reports map[string]LoadReport) {
	v.loads = maps.Clone(v.loads)
	v.byName = maps.Clone(v.byName)
	if v.loads == nil {
		v.loads = make(map[string]LoadReport, len(reports))
	}
	for name, l := range reports {
		old, ok := v.byName[name]
		if !ok {
			continue
		}
		v.loads[name] = l
		e := *old
		e.setLoad(l)
		v.byName[name] = &e
	}
	lists := make(map[string][]*Endpoint, len(v.Endpoints))
	for service, list := range v.Endpoints {
		lists[service] = v.currentCopies(list)
	}
	v.Endpoints = lists
}

// currentCopies returns a list with the current copy of each endpoint.
func (v *View) currentCopies(list []*Endpoint) []*Endpoint {
	current := make([]*Endpoint, len(list))
	for i, e := range list {
		current[i] = v.byName[e.Name]
	}
	return current
}

// resolve computes the endpoints of each service. An endpoint keeps its Stats as
// long as its name, address and incarnation stay the same.
func (v *View) resolve() {
	old := v.byName
	v.loads = maps.Clone(v.loads)
	maps.DeleteFunc(v.loads, func(name string, _ LoadReport) bool { return old[name] == nil })
	v.byName = make(map[string]*Endpoint, len(v.Config.Endpoints)+len(v.running))
	for _, e := range v.Config.Endpoints {
		v.add(fromConfig(e), old)
	}
	for _, r := range v.running {
		v.add(fromRunning(r), old)
	}
	for _, r := range v.replicas {
		v.add(fromReplica(r), old)
	}
	v.Endpoints = make(map[string][]*Endpoint, len(v.Config.Services))
	names := slices.Sorted(maps.Keys(v.byName))
	for _, s := range v.Config.Services {
		v.Endpoints[s.Name] = v.endpointsOf(s, names)
	}
}

func (v *View) endpointsOf(s config.Service, names []string) []*Endpoint {
	var list []*Endpoint
	for _, name := range names {
		e := v.byName[name]
		if e.assignment.assignedTo(s, e.Labels) {
			list = append(list, e)
		}
	}
	return list
}

func (v *View) add(e *Endpoint, old map[string]*Endpoint) {
	e.Stats = &Stats{}
	if o, ok := old[e.Name]; ok && o.Addr == e.Addr && o.Incarnation == e.Incarnation {
		e.Stats = o.Stats
	}
	if l, ok := v.loads[e.Name]; ok {
		e.setLoad(l)
	}
	if v.evacuated[e.DataCentre] {
		e.Leaving = true
	}
	if incarnation, ok := v.markedLeaving[e.Name]; ok && incarnation == e.Incarnation {
		e.Leaving = true
	}
	v.byName[e.Name] = e
}

func fromConfig(e config.Endpoint) *Endpoint {
	return &Endpoint{
		Name:        e.Name,
		DataCentre:  e.DataCentre,
		Addr:        e.Addr,
		Tier:        e.Labels[LabelTier],
		Labels:      e.Labels,
		ChecksEpoch: e.ChecksEpoch,
		Leaving:     e.Leaving,
		assignment:  bySelector{},
	}
}

// assignment determines which services an endpoint belongs to.
type assignment interface {
	assignedTo(s config.Service, labels label.Set) bool
}

// fixedService assigns an endpoint that the platform runs, or that registered itself,
// to the service of that name only.
type fixedService string

func (f fixedService) assignedTo(s config.Service, _ label.Set) bool { return string(f) == s.Name }

// bySelector assigns an endpoint from the configuration to the services whose selector
// matches its labels.
type bySelector struct{}

func (bySelector) assignedTo(s config.Service, labels label.Set) bool {
	return s.Endpoints.Matches(labels)
}

func fromRunning(r infra.RunningEndpoint) *Endpoint {
	return &Endpoint{
		Name:       r.Name,
		DataCentre: r.DataCentre,
		Addr:       r.Addr,
		Tier:       r.Tier,
		Labels: label.Set{
			LabelService:    r.Service,
			LabelTier:       r.Tier,
			LabelDataCentre: r.DataCentre,
		},
		Leaving:    r.State != infra.EndpointRunning,
		assignment: fixedService(r.Service),
	}
}

func fromReplica(r infra.Replica) *Endpoint {
	e := fromRunning(r.RunningEndpoint)
	e.Incarnation = r.Incarnation
	e.Slots = r.Slots
	e.Weights = r.Weights
	e.Load.MaxRunning = r.Slots
	return e
}
