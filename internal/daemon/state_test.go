package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/systemtest"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/view"
)

const (
	// testTimeout ends a test that hangs. It is not a bound that is tested.
	testTimeout = time.Minute
	// withdrawalBound is the longest time for which a request may run under a
	// withdrawn key after the withdrawal was acknowledged.
	withdrawalBound = 3 * time.Second

	testTeam    = "coaches"
	testService = "tagger"
	testKey     = "agreement-test-key"
)

// system consists of three instances and one slow engine.
type system struct {
	*daemontest.System
	t   *testing.T
	ctx context.Context
}

func startSystem(t *testing.T) *system {
	t.Helper()
	systemtest.FailOnBrokenInvariant(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	sys := systemtest.Start(t, daemontest.Options{DataCentres: []string{"dc-a", "dc-b", "dc-c"}})
	s := &system{System: sys, t: t, ctx: ctx}
	s.deploy()
	return s
}

func (s *system) operator(i int) *api.Client {
	return systemtest.OperatorClient(s.Instances[i], http.DefaultClient)
}

// until waits until f returns nil.
func (s *system) until(what string, f func() error) {
	s.t.Helper()
	systemtest.WaitFor(s.ctx, s.t, 10*time.Millisecond, what, f)
}

// deploy applies a deployment and waits until the member list is complete and the
// configuration is in force.
func (s *system) deploy() {
	s.t.Helper()
	_, endpoint, err := s.AddEngine("engine-1", "dc-a", map[string]string{"app": "tagger"},
		fakeengine.Options{TokenDelay: 20 * time.Millisecond, MaxRunning: 64, Version: 1})
	if err != nil {
		s.t.Fatal(err)
	}
	o := config.Objects{
		Teams:     []config.Team{{Meta: config.Meta{Name: testTeam}}},
		Keys:      []config.Key{{Meta: config.Meta{Name: "key-1"}, Team: testTeam, Digest: view.Digest(testKey)}},
		Services:  []config.Service{{Meta: config.Meta{Name: testService}, Type: config.ServiceEngine, Endpoints: label.MustParse("app=tagger")}},
		Endpoints: []config.Endpoint{endpoint},
	}
	s.until("deploy", func() error {
		_, err := s.operator(0).Change(s.ctx, api.ChangeRequest{Put: o})
		return err
	})
	s.until("member list", func() error {
		list, err := s.operator(0).Objects(s.ctx, config.KindMember, "")
		if err == nil && len(list.Members) != len(s.Instances) {
			err = fmt.Errorf("%d members", len(list.Members))
		}
		return err
	})
	s.untilInForce(0)
}

// untilInForce waits until every instance reports that its version, which must be
// at least version, is in force at all instances.
func (s *system) untilInForce(version uint64) {
	s.t.Helper()
	for i := range s.Instances {
		s.until("in force", func() error {
			st, err := s.operator(i).Status(s.ctx)
			if err == nil && (st.InForce != st.Version || st.Version < version || len(st.Missing) > 0) {
				err = fmt.Errorf("version %d, in force %d, missing %v", st.Version, st.InForce, st.Missing)
			}
			return err
		})
	}
}

// request sends a request for the number of tokens to an instance and returns the
// response, whose body may still be streaming.
func (s *system) request(i, tokens int) (*http.Response, error) {
	body, err := json.Marshal(engine.GenerateRequest{Prompt: "p", MaxTokens: tokens, Seed: 1})
	if err != nil {
		return nil, err
	}
	url := "http://" + s.Instances[i].Settings.Listen.Callers + "/v1/services/" + testService + "/v1/generate"
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	return http.DefaultClient.Do(req)
}

// responseCode returns the code of an instance's response to a short request.
func (s *system) responseCode(i int) (code.Number, error) {
	resp, err := s.request(i, 1)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return code.OK, nil
	}
	var e api.Error
	err = json.NewDecoder(resp.Body).Decode(&e)
	return code.Number(e.Code), err
}

func (s *system) untilRefused(i int, want code.Number) {
	s.t.Helper()
	s.until(fmt.Sprintf("instance %d refuses with %d", i, want), func() error {
		got, err := s.responseCode(i)
		if err == nil && got != want {
			err = fmt.Errorf("got %d", got)
		}
		return err
	})
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	s := startSystem(t)
	put := config.Objects{Teams: []config.Team{{Meta: config.Meta{Name: "more"}}}}
	resp, err := s.operator(0).Change(s.ctx, api.ChangeRequest{Put: put})
	if err != nil || !resp.Committed || resp.InForce {
		t.Fatalf("change: got %+v, %v; want committed and not in force yet", resp, err)
	}
	s.untilInForce(resp.Version)
}

// TestRacingOperators: of two changes that are based on the same version, one is
// committed and the other gets a conflict.
func TestRacingOperators(t *testing.T) {
	s := startSystem(t)
	st, err := s.operator(0).Status(s.ctx)
	if err != nil {
		t.Fatal(err)
	}
	results := make(chan error, 2)
	for i := range 2 {
		go func() {
			put := config.Objects{Teams: []config.Team{{Meta: config.Meta{Name: fmt.Sprintf("team-%d", i)}}}}
			_, err := s.operator(i).Change(s.ctx, api.ChangeRequest{Expected: &st.Version, Put: put})
			results <- err
		}()
	}
	first, second := <-results, <-results
	if first != nil {
		first, second = second, first
	}
	var remote *api.RemoteError
	if first != nil || !errors.As(second, &remote) || code.Number(remote.Body.Code) != code.VersionConflict {
		t.Fatalf("racing changes: got %v and %v, want one success and one conflict", first, second)
	}
	if len(remote.Body.Diff) == 0 {
		t.Error("the conflict error contains no diff")
	}
}

// TestStoreOutageStopsNobody: while the store is down for longer than the
// freshness bound, all instances serve requests. An instance that also loses
// the connections to the others must refuse them.
func TestStoreOutageStopsNobody(t *testing.T) {
	s := startSystem(t)
	s.Platform.SetFaults(fakeplatform.Faults{Down: true})
	freshness := time.Duration(s.Instances[0].Settings.Timing.Freshness)
	for end := time.Now().Add(2 * freshness); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range s.Instances {
			if got, err := s.responseCode(i); err != nil || got != code.OK {
				t.Fatalf("instance %d: code %d, %v", i, got, err)
			}
		}
	}
	// Without the store and the other instances, an instance can't verify that
	// its configuration is current.
	s.Instances[0].CutConnections()
	s.Instances[1].CutConnections()
	s.untilRefused(2, code.NotFresh)
}

// stream starts a long response at an instance. It returns a channel that
// receives the time at which the response was truncated. A complete response
// fails the test.
func (s *system) stream(i int) <-chan time.Time {
	s.t.Helper()
	resp, err := s.request(i, 100_000)
	if err != nil || resp.StatusCode != http.StatusOK {
		s.t.Fatalf("stream: %+v, %v", resp, err)
	}
	cut := make(chan time.Time, 1)
	go func() {
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			s.t.Error("the stream ended without an error, want truncated")
		}
		cut <- time.Now()
	}()
	return cut
}

// awaitCut returns the time at which the stream was truncated.
func (s *system) awaitCut(cut <-chan time.Time) time.Time {
	s.t.Helper()
	select {
	case at := <-cut:
		return at
	case <-s.ctx.Done():
		s.t.Fatal("the stream was not truncated")
		return time.Time{}
	}
}

// TestWithdrawalEndsStreamAtAnotherInstance withdraws the key of a running stream at
// another instance. The stream must be truncated soon, whatever the state of
// the store.
func TestWithdrawalEndsStreamAtAnotherInstance(t *testing.T) {
	for name, faults := range map[string]fakeplatform.Faults{
		"store up":   {},
		"store down": {Down: true},
		"store slow": {Slow: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			s.Platform.SetFaults(faults)
			cut := s.stream(1)
			select {
			case <-cut:
				t.Fatal("the stream was truncated before the withdrawal")
			case <-time.After(200 * time.Millisecond):
			}
			resp, err := s.operator(0).WithdrawKey(s.ctx, "key-1")
			acknowledged := time.Now()
			if err != nil || !resp.InForce {
				t.Fatalf("withdrawal: got %+v, %v; want in force", resp, err)
			}
			if d := s.awaitCut(cut).Sub(acknowledged); d > withdrawalBound {
				t.Errorf("the stream was truncated %v after the acknowledgement, bound is %v", d, withdrawalBound)
			}
			s.untilRefused(1, code.KeyWithdrawn)
		})
	}
}

// TestCutOffInstanceStopsStreams: an instance that reaches neither the store
// nor a majority of the instances may have missed a withdrawal. It must stop
// streams and refuse requests.
func TestCutOffInstanceStopsStreams(t *testing.T) {
	s := startSystem(t)
	cut := s.stream(2)
	s.Platform.SetFaults(fakeplatform.Faults{Down: true})
	s.Instances[0].CutConnections()
	s.Instances[1].CutConnections()
	isolated := time.Now()
	if d := s.awaitCut(cut).Sub(isolated); d > withdrawalBound {
		t.Errorf("the stream was truncated %v after the instance was isolated, bound is %v", d, withdrawalBound)
	}
	s.untilRefused(2, code.NotFresh)
}

// TestReplacedInstanceRefusesWithdrawnKey: an instance that replaces another
// one during a store outage can't read a withdrawal that is not durable yet. It
// must not run requests under the withdrawn key, neither during the outage nor
// after it.
func TestReplacedInstanceRefusesWithdrawnKey(t *testing.T) {
	s := startSystem(t)
	s.Platform.SetFaults(fakeplatform.Faults{Down: true})
	resp, err := s.operator(0).WithdrawKey(s.ctx, "key-1")
	if err != nil || !resp.InForce || resp.Durable {
		t.Fatalf("withdrawal: got %+v, %v; want in force and not durable", resp, err)
	}
	old := s.Instances[2].Settings
	s.Instances[2].CutConnections()
	if _, err := s.AddInstance(old.Name, old.DataCentre); err != nil {
		t.Fatal(err)
	}
	replacement := len(s.Instances) - 1
	outageEnd := time.Now().Add(withdrawalBound)
	s.until("refused because the key is withdrawn", func() error {
		if time.Now().After(outageEnd) {
			s.Platform.SetFaults(fakeplatform.Faults{})
		}
		got, err := s.responseCode(replacement)
		if err == nil && got == code.OK {
			t.Fatal("a request ran under the withdrawn key")
		}
		if got != code.KeyWithdrawn {
			return fmt.Errorf("code %d, %w", got, err)
		}
		return nil
	})
}

// TestWithdrawalDuringStoreOutage: a withdrawal during a store outage takes
// effect at all instances, and becomes durable when the store is available
// again.
func TestWithdrawalDuringStoreOutage(t *testing.T) {
	s := startSystem(t)
	s.Platform.SetFaults(fakeplatform.Faults{Down: true})
	resp, err := s.operator(0).WithdrawKey(s.ctx, "key-1")
	acknowledged := time.Now()
	if err != nil || !resp.InForce || resp.Durable {
		t.Fatalf("withdrawal: got %+v, %v; want in force and not durable", resp, err)
	}
	for i := range s.Instances {
		s.untilRefused(i, code.KeyWithdrawn)
	}
	if d := time.Since(acknowledged); d > withdrawalBound {
		t.Errorf("all instances refused the key after %v, bound is %v", d, withdrawalBound)
	}
	s.Platform.SetFaults(fakeplatform.Faults{})
	s.until("durable", func() error {
		for i := range s.Instances {
			st, err := s.operator(i).Status(s.ctx)
			if err != nil || len(st.PendingWithdrawals) > 0 {
				return errors.Join(err, fmt.Errorf("pending %v", st.PendingWithdrawals))
			}
		}
		return nil
	})
	list, err := s.operator(2).Objects(s.ctx, config.KindKey, "")
	if err != nil || len(list.Keys) != 1 || !list.Keys[0].Withdrawn {
		t.Errorf("got keys %+v, %v; want one withdrawn key", list.Keys, err)
	}
}
