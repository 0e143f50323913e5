package fakeplatform_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/infra/httpapi"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

// testBoth runs f with the interfaces for use in the same process and with those
// over HTTP.
func testBoth(t *testing.T, f func(t *testing.T, fake *fakeplatform.Platform, p infra.Platform)) {
	for name, open := range map[string]func(t *testing.T, fake *fakeplatform.Platform) infra.Platform{
		"local": func(_ *testing.T, fake *fakeplatform.Platform) infra.Platform { return fake.Platform() },
		"http":  overHTTP,
	} {
		t.Run(name, func(t *testing.T) {
			fake := fakeplatform.New(fakeplatform.Options{CheckEpochs: true})
			f(t, fake, open(t, fake))
		})
	}
}

func overHTTP(t *testing.T, fake *fakeplatform.Platform) infra.Platform {
	srv := httptest.NewServer(fake.Handler())
	t.Cleanup(srv.Close)
	return httpapi.New(srv.URL, srv.Client(), "")
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Fatalf("got error %v, want %v", got, want)
	}
}

// wantRow checks whether a row exists, that is, whether its write had an effect.
func wantRow(t *testing.T, fake *fakeplatform.Platform, key string, want bool) {
	t.Helper()
	if _, ok := fake.Row(key); ok != want {
		t.Fatalf("row %q exists: %v, want %v", key, ok, want)
	}
}

func TestTable(t *testing.T) {
	testBoth(t, func(t *testing.T, _ *fakeplatform.Platform, p infra.Platform) {
		ctx := context.Background()
		_, err := p.Table.Get(ctx, "a")
		wantErr(t, err, infra.ErrNotFound)
		wantErr(t, p.Table.Commit(ctx, infra.PutIf("a", 0, []byte("1")), infra.Put("b", nil)), nil)
		wantErr(t, p.Table.Commit(ctx, infra.Put("b", nil), infra.PutIf("a", 0, nil)), infra.ErrConflict)
		wantErr(t, p.Table.Commit(ctx, infra.CheckVersion("a", 1), infra.Put("a", []byte("2"))), nil)
		row, err := p.Table.Get(ctx, "a")
		wantErr(t, err, nil)
		if row.Version != 2 || string(row.Value) != "2" {
			t.Fatalf("got row %+v, want version 2 and value 2", row)
		}
		rows, err := p.Table.List(ctx, "", "a", 10)
		wantErr(t, err, nil)
		if len(rows) != 1 || rows[0].Key != "b" || rows[0].Version != 1 {
			t.Fatalf("got rows %+v after a, want b at version 1", rows)
		}
	})
}

func TestLostResponses(t *testing.T) {
	testBoth(t, func(t *testing.T, fake *fakeplatform.Platform, p infra.Platform) {
		ctx := context.Background()
		fake.SetFaults(fakeplatform.Faults{LoseResponses: 1})
		wantErr(t, p.Table.Commit(ctx, infra.Put("a", nil)), infra.ErrUnknownOutcome)
		wantRow(t, fake, "a", true)
		fake.SetFaults(fakeplatform.Faults{LoseRequests: 1})
		wantErr(t, p.Table.Commit(ctx, infra.Put("b", nil)), infra.ErrUnknownOutcome)
		wantRow(t, fake, "b", false)
		fake.SetFaults(fakeplatform.Faults{Down: true})
		wantErr(t, p.Table.Commit(ctx, infra.Put("b", nil)), infra.ErrUnavailable)
		_, err := p.Table.Get(ctx, "a")
		wantErr(t, err, infra.ErrUnavailable)
		fake.SetFaults(fakeplatform.Faults{})
		wantErr(t, p.Objects.Put(ctx, "o", []byte("data")), nil)
		data, err := p.Objects.Get(ctx, "o")
		wantErr(t, err, nil)
		if string(data) != "data" {
			t.Fatalf("got object %q, want data", data)
		}
	})
}

// TestGuardAndCancellation checks that a write whose guard fails has no effect,
// and which errors are returned when the caller's context ends during a call.
func TestGuardAndCancellation(t *testing.T) {
	testBoth(t, func(t *testing.T, fake *fakeplatform.Platform, p infra.Platform) {
		lapsed := errors.New("lapsed")
		err := p.Table.Commit(infra.WithGuard(context.Background(), func() error { return lapsed }), infra.Put("a", nil))
		wantErr(t, err, lapsed)
		wantErr(t, err, infra.ErrUnavailable)
		wantRow(t, fake, "a", false)
		fake.SetFaults(fakeplatform.Faults{Slow: time.Second})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		wantErr(t, p.Table.Commit(ctx, infra.Put("a", nil)), infra.ErrUnknownOutcome)
		_, err = p.Table.Get(ctx, "a")
		wantErr(t, err, infra.ErrUnavailable)
	})
}

func TestEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{
			StartDelay: 10 * time.Second, StopNotice: 5 * time.Second, CheckEpochs: true,
		})
		p := fake.Platform()
		order := infra.EndpointOrder{ID: "1", DataCentre: "x", Service: "s", Tier: "cheap", Count: 2, Epoch: 2}
		wantErr(t, p.Endpoints.Order(t.Context(), order), nil)
		wantStates(t, p, infra.EndpointStarting, infra.EndpointStarting)
		time.Sleep(10 * time.Second)
		wantStates(t, p, infra.EndpointRunning, infra.EndpointRunning)
		order.Epoch = 1
		wantErr(t, p.Endpoints.Order(t.Context(), order), infra.ErrStaleEpoch)
		order.Epoch, order.Count = 3, 1
		wantErr(t, p.Endpoints.Order(t.Context(), order), nil)
		wantStates(t, p, infra.EndpointRunning, infra.EndpointReclaiming)
		time.Sleep(6 * time.Second)
		wantStates(t, p, infra.EndpointRunning)
		fake.Reclaim("x", "cheap", time.Second)
		wantStates(t, p, infra.EndpointReclaiming)
		time.Sleep(2 * time.Second)
		wantErr(t, p.Endpoints.Order(t.Context(), order), nil)
		wantStates(t, p)
		wantErr(t, fake.MakeAvailable("x", "cheap"), nil)
		wantStates(t, p, infra.EndpointStarting)
	})
}

func wantStates(t *testing.T, p infra.Platform, want ...infra.EndpointState) {
	t.Helper()
	list, err := p.Endpoints.Observe(t.Context(), "x")
	wantErr(t, err, nil)
	var states []infra.EndpointState
	for _, e := range list {
		states = append(states, e.State)
	}
	if !slices.Equal(states, want) {
		t.Fatalf("got endpoints %+v, want states %v", list, want)
	}
}

func TestListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New(fakeplatform.Options{Instances: []infra.Instance{{Name: "a"}}})
		fake.SetFaults(fakeplatform.Faults{ListLag: 10 * time.Second})
		time.Sleep(time.Minute)
		fake.SetInstance(infra.Instance{Name: "b"})
		list, err := fake.Platform().Instances.List(t.Context())
		wantErr(t, err, nil)
		if len(list) != 1 {
			t.Fatalf("got list %+v before ListLag has passed, want one instance", list)
		}
		time.Sleep(10 * time.Second)
		if list, _ = fake.Platform().Instances.List(t.Context()); len(list) != 2 {
			t.Fatalf("got list %+v after ListLag has passed, want two instances", list)
		}
	})
}
