package proctest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

// freezeTime is how long an instance is suspended. It is longer than the lease
// duration and the freshness time of the configuration (see addInstance).
const freezeTime = 4 * time.Second

// fakeArgs are the arguments of the program that runs the fakes.
var fakeArgs = []string{
	"--engine", "127.0.0.1:0", "--engine", "127.0.0.1:0", "--engine", "127.0.0.1:0",
	"--service", "127.0.0.1:0", "--service", "127.0.0.1:0",
	"--token-delay", "5ms", "--mark-version", "--start-delay", "100ms", "--stop-notice", "500ms",
}

// deploy applies a configuration with one team and its two services, and returns a
// key that every instance accepts.
func (s *system) deploy() string {
	s.Helper()
	var endpoints, members []string
	for i, addr := range s.engines {
		endpoints = append(endpoints, fmt.Sprintf(`{"name": "engine-%d", "data_centre": "dc-1", "addr": %q, "labels": {"app": "tagger"}}`, i, addr))
	}
	for i, addr := range s.services {
		endpoints = append(endpoints, fmt.Sprintf(`{"name": "records-%d", "data_centre": "dc-1", "addr": %q, "labels": {"app": "records"}}`, i, addr))
	}
	for i, in := range s.instances {
		members = append(members, fmt.Sprintf(`{"name": %q, "data_centre": "dc-%d"}`, in.name, i+1))
	}
	s.ctl(s.instances[0], fmt.Sprintf(`{
		"teams": [{"name": "coaches"}],
		"services": [
			{"name": "tagger", "type": "engine", "endpoints": "app=tagger", "teams": ["coaches"]},
			{"name": "records", "type": "plain", "endpoints": "app=records", "teams": ["coaches"]},
		],
		"endpoints": [%s],
		"members": [%s],
	}`, strings.Join(endpoints, ","), strings.Join(members, ",")), "apply", "-f", "-")
	return s.newKey("first")
}

// newKey creates a key and waits until every instance accepts it.
func (s *system) newKey(name string) string {
	s.Helper()
	key := strings.TrimSpace(s.ctl(s.instances[0], "", "key", "create", name, "--team", "coaches"))
	for _, in := range s.instances {
		s.waitFor("key accepted by "+in.name, func() bool {
			r, _ := generate(in, key, "warm-up "+in.name, 1)
			return r.complete
		})
	}
	return key
}

// TestKillDuringStream kills an instance while a stream runs. Its callers must be
// able to detect that their responses are incomplete, and the other instances must
// continue.
func TestKillDuringStream(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	key := s.deploy()
	load := s.startLoad(key)
	victim := s.instances[0]
	long := s.startStream(victim, key, "cut by a kill", 100_000)
	victim.signal(syscall.SIGKILL)
	if r := <-long; !r.interrupted {
		t.Errorf("the stream of a killed instance ended as %+v", r)
	}
	if r, _ := generate(s.instances[1], key, "after the kill", 10); !r.complete {
		t.Errorf("a request to another instance ended as %+v", r)
	}
	load.check()
}

// startStream sends a request and returns once an engine runs it. The channel
// receives the result.
func (s *system) startStream(in *instance, key, prompt string, tokens int) <-chan result {
	s.Helper()
	ended := make(chan result, 1)
	go func() {
		r, _ := generate(in, key, prompt, tokens)
		ended <- r
	}()
	s.waitFor("an engine runs: "+prompt, func() bool { return s.runsOf(prompt) == 1 })
	return ended
}

// waitWithdrawn waits until an instance refuses a key as withdrawn.
func (s *system) waitWithdrawn(in *instance, key string) {
	s.Helper()
	s.waitFor("withdrawn at "+in.name, func() bool {
		r, _ := generate(in, key, "late", 1)
		return r.refusedAs(code.KeyWithdrawn)
	})
}

// runsOf counts how often the engines ran a prompt.
func (s *system) runsOf(prompt string) int {
	n := 0
	for _, r := range s.endpointRecords(s.engines) {
		n += r.RunsByContent[prompt]
	}
	return n
}

// TestFreeze suspends an instance and withdraws a key during that time. A request
// with the key, sent to the suspended instance, must not run when the instance
// resumes: its outdated configuration must not count.
func TestFreeze(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	key := s.deploy()
	withdrawn := s.newKey("to-withdraw")
	load := s.startLoad(key)
	frozen := s.instances[2]
	before := s.status(frozen).Version
	frozen.signal(syscall.SIGSTOP)
	s.ctl(s.instances[0], "", "key", "withdraw", "to-withdraw")
	sent := make(chan result, 1)
	go func() {
		r, _ := generate(frozen, withdrawn, "sent while frozen", 1)
		sent <- r
	}()
	time.Sleep(freezeTime)
	frozen.signal(syscall.SIGCONT)
	r := <-sent
	if !r.refusedAs(code.NotFresh, code.KeyWithdrawn) {
		t.Errorf("a request with a withdrawn key ended as %+v", r)
	}
	s.waitFor("an up-to-date configuration at the frozen instance", func() bool { return s.status(frozen).Version > before })
	if r, _ := generate(frozen, withdrawn, "sent while frozen", 1); !r.refusedAs(code.KeyWithdrawn) {
		t.Errorf("a request with a withdrawn key ended as %+v", r)
	}
	if n := s.runsOf("sent while frozen"); n > 0 {
		t.Errorf("a request with a withdrawn key was run %d times", n)
	}
	load.check()
}

// TestGracefulShutdown sends SIGTERM to an instance under load. No request may be
// interrupted, new requests must be refused as draining, and the process must exit
// with success.
func TestGracefulShutdown(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	key := s.deploy()
	load := s.startLoad(key)
	leaving := s.instances[1]
	long := s.startStream(leaving, key, "over the shutdown", 300)
	leaving.signal(syscall.SIGTERM)
	if r := <-long; !r.complete {
		t.Errorf("the stream of an instance that shuts down ended as %+v", r)
	}
	select {
	case <-leaving.exited:
	case <-time.After(waitTimeout):
		t.Error("the instance does not exit")
	}
	load.check()
	load.checkNoneInterrupted()
	if load.count(func(r result) bool { return r.in == leaving && r.refusedAs(code.Draining) }) == 0 {
		t.Error("no request was refused because the instance shuts down")
	}
	if !leaving.cmd.ProcessState.Success() {
		t.Errorf("the instance exited with %v", leaving.cmd.ProcessState)
	}
}

// TestStoreOutage checks that an outage of the platform alone does not stop any
// caller, and that a key withdrawn during the outage stops working at every
// instance, also for running streams.
func TestStoreOutage(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	load := s.startLoad(s.deploy())
	withdrawn := s.newKey("to-withdraw")
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{Down: true}, nil)
	time.Sleep(freezeTime)
	var streams []<-chan result
	for _, in := range s.instances {
		streams = append(streams, s.startStream(in, withdrawn, "under a withdrawn key at "+in.name, 100_000))
	}
	s.ctl(s.instances[0], "", "key", "withdraw", "to-withdraw")
	for _, ended := range streams {
		if r := <-ended; !r.interrupted {
			t.Errorf("a stream with a withdrawn key ended as %+v", r)
		}
	}
	for _, in := range s.instances {
		s.waitWithdrawn(in, withdrawn)
	}
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{}, nil)
	s.waitFor("the withdrawal in the audit trail", func() bool {
		return strings.Contains(s.ctl(s.instances[1], "", "audit"), "to-withdraw")
	})
	load.check()
	for _, r := range slices.Concat(load.streams, load.calls) {
		if r.refused != nil {
			t.Fatalf("a request was refused during the outage: %+v", *r.refused)
		}
	}
}

// TestEndpointFaults checks that callers get a correct result for each request while
// endpoints crash, lose requests and responses, truncate streams and return the
// responses of other requests.
func TestEndpointFaults(t *testing.T) {
	s := start(t, 2, fakeArgs...)
	load := s.startLoad(s.deploy())
	for range 5 {
		for i, addr := range append(s.engines, s.services...) {
			s.control(addr, http.MethodPut, "/control/faults", fakeendpoint.Faults{
				CrossedResponses: 3, LoseRequests: 3, LoseResponses: 3, TruncateAfter: 7 * (i % 2),
			}, nil)
		}
		time.Sleep(freezeTime / 10)
		s.control(s.engines[0], http.MethodPost, "/control/crash", fakeendpoint.CrashRequest{RestartAfter: freezeTime / 20}, nil)
		s.control(s.services[0], http.MethodPost, "/control/crash", fakeendpoint.CrashRequest{RestartAfter: freezeTime / 20}, nil)
		time.Sleep(freezeTime / 10)
	}
	load.check()
}
