package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/view"
)

const (
	callerKey = "caller-key-0123456789"
	// waitTimeout bounds each wait, for a change to be accepted or for it to be
	// in force at an instance.
	waitTimeout  = 10 * time.Second
	pollInterval = 20 * time.Millisecond
)

func startSystem() (*daemontest.System, error) {
	return daemontest.Start(daemontest.Options{DataCentres: []string{"dc-a", "dc-b"}})
}

// apply commits the services and endpoints with a team and its key, and waits
// until probe succeeds at each instance.
func apply(sys *daemontest.System, put config.Objects, probe func(*daemontest.Instance) bool) error {
	put.Teams = []config.Team{{Meta: config.Meta{Name: "callers"}}}
	put.Keys = []config.Key{{Meta: config.Meta{Name: "caller"}, Team: "callers", Digest: view.Digest(callerKey)}}
	ops := &api.Client{
		BaseURL: "http://" + sys.Instances[0].Settings.Listen.Operators, Operator: "bench", HTTP: http.DefaultClient,
	}
	err := eventually("change accepted", func() bool {
		_, err := ops.Change(context.Background(), api.ChangeRequest{Put: put})
		return err == nil
	})
	if err != nil {
		return err
	}
	for _, in := range sys.Instances {
		if err := eventually("configuration in force", func() bool { return probe(in) }); err != nil {
			return err
		}
	}
	return nil
}

// eventually calls ok until it returns true. It fails after waitTimeout.
func eventually(what string, ok func() bool) error {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s: timed out after %s", what, waitTimeout)
}
