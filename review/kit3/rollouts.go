package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// fastestGap is the time between two events of the fastest engine. Each further
	// one takes gapStep longer.
	fastestGap = 90 * time.Millisecond
	gapStep    = 3 * time.Millisecond
	// readPeriod is the time between two reads of one client.
	readPeriod = 500 * time.Millisecond
	// joinTime is how long the machines take to find each other.
	joinTime = 2 * time.Second
)

// startMachines starts three machines, eight engines and two replicas of the plain
// service.
func (w *world) startMachines(work func(*http.Request) time.Duration) error {
	for n := range 8 {
		err := w.addReplica(replicaOptions{
			id: fmt.Sprintf("i-e%07d", n), service: engineService, zone: zoneOf(n), engine: true,
			eventGap: fastestGap + time.Duration(n)*gapStep, events: w.events, runs: w.runs,
		})
		if err != nil {
			return err
		}
	}
	for n := range 2 {
		err := w.addReplica(replicaOptions{id: fmt.Sprintf("i-s%07d", n), service: plainService, zone: zoneOf(n), work: work})
		if err != nil {
			return err
		}
	}
	for n := range 3 {
		if _, err := w.addMachine(fmt.Sprintf("frontend-%s-1", zoneOf(n)), zoneOf(n)); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(joinTime)
	return nil
}

func zoneOf(n int) string { return []string{"mvd-a", "mvd-b", "mvd-c"}[n%3] }

func (w *world) machineNamed(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}
