package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/label"
)

const (
	responseDelay = time.Millisecond
	// recordWait is the wait after the last response, in which the instances may
	// still write rows.
	recordWait = 100 * time.Millisecond
)

// deduplication prints a row for each combination of store delay, number of
// callers and service.
func deduplication(table *tabwriter.Writer, requests int) error {
	sys, err := startSystem()
	if err != nil {
		return err
	}
	defer sys.Close()
	if err := addPlainServices(sys); err != nil {
		return err
	}
	var ids atomic.Int64
	fmt.Fprintln(table, "store's delay\tcallers\tservice\tms/request\twrites/request\treads/request")
	for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
		sys.Platform.SetFaults(fakeplatform.Faults{Slow: delay})
		for _, callers := range []int{1, 32, 128} {
			for _, service := range []string{"once", "dedup"} {
				fmt.Fprintf(table, "%v\t%d\t%s\t", delay, callers, service)
				if err := printCost(table, sys, service, callers, requests, &ids); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// addPlainServices adds three endpoints and two services that use them: "once",
// and "dedup", which is deduplicated.
func addPlainServices(sys *daemontest.System) error {
	sel := label.MustParse("app=plain")
	put := config.Objects{Services: []config.Service{
		{Meta: config.Meta{Name: "once"}, Type: config.ServicePlain, Endpoints: sel},
		{Meta: config.Meta{Name: "dedup"}, Type: config.ServicePlain, Endpoints: sel, Deduplicate: true},
	}}
	for i, dc := range []string{"dc-a", "dc-a", "dc-b"} {
		_, endpoint, err := sys.AddService(fmt.Sprintf("plain-%d", i), dc, map[string]string{"app": "plain"}, responseDelay)
		if err != nil {
			return err
		}
		put.Endpoints = append(put.Endpoints, endpoint)
	}
	return apply(sys, put, func(in *daemontest.Instance) bool {
		resp, err := in.Send("dedup", callerKey, "warm up "+in.Settings.Name, nil)
		return err == nil && resp.Status == http.StatusOK
	})
}

// printCost sends n requests from concurrent callers and prints the time, the
// writes and the reads per request.
func printCost(table *tabwriter.Writer, sys *daemontest.System, service string, callers, n int, ids *atomic.Int64) error {
	var failed atomic.Int64
	before, started := sys.Platform.Record(), time.Now()
	daemontest.ForEachConcurrently(callers, n, func(k, _ int) {
		id := fmt.Sprintf("cost %d", ids.Add(1))
		resp, err := sys.Instances[k%2].Send(service, callerKey, id, func(r *http.Request) { r.Header.Set("Idempotency-Key", id) })
		if err != nil || resp.Status != http.StatusOK {
			failed.Add(1)
		}
	})
	elapsed := time.Since(started)
	time.Sleep(recordWait)
	after := sys.Platform.Record()
	count := float64(n)
	fmt.Fprintf(table, "%.3f\t%.2f\t%.2f\n", elapsed.Seconds()*1000/count,
		float64(after.Writes-before.Writes)/count, float64(after.Reads-before.Reads)/count)
	if f := failed.Load(); f > 0 {
		return fmt.Errorf("%d of %d requests failed", f, n)
	}
	return nil
}
