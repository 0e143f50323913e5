// Package systemtest contains helpers for tests of a complete system: they start it,
// connect to its operator addresses, and wait for conditions. Only tests import it.
package systemtest

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/invariant"
)

// Start starts a system that is closed at the end of the test.
func Start(t testing.TB, opt daemontest.Options) *daemontest.System {
	t.Helper()
	sys, err := daemontest.Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sys.Close)
	return sys
}

// FailOnBrokenInvariant makes a broken invariant fail the test.
func FailOnBrokenInvariant(t testing.TB) {
	invariant.OnBroken(func(n invariant.Name, detail string) { t.Errorf("invariant %s: %s", n, detail) })
	t.Cleanup(func() { invariant.OnBroken(nil) })
}

// OperatorClient returns a client of an instance's operator address.
func OperatorClient(in *daemontest.Instance, c *http.Client) *api.Client {
	return &api.Client{BaseURL: "http://" + in.Settings.Listen.Operators, Operator: "test", HTTP: c}
}

// WaitFor calls f repeatedly, with a pause between calls, until it succeeds. The test
// fails if ctx ends first.
func WaitFor(ctx context.Context, t testing.TB, pause time.Duration, what string, f func() error) {
	t.Helper()
	for {
		err := f()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%s: %v", what, err)
		case <-time.After(pause):
		}
	}
}
