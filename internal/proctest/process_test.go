package proctest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/tlsfile"
	"github.com/cumincove/cumincove/internal/tlsfile/tlstest"
	"github.com/cumincove/cumincove/settings"
)

const (
	// waitTimeout bounds the wait for a condition that must become true.
	waitTimeout = 60 * time.Second
	// pollPeriod is the time between two checks of such a condition.
	pollPeriod = 20 * time.Millisecond
)

// buildPrograms compiles the programs once and returns their directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "proctest")
	if err != nil {
		return "", err
	}
	cmd := exec.Command("go", "build", "-race", "-o", dir+"/", "./cmd/...", "./internal/fake/cmd/...")
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	status := m.Run()
	if dir, err := buildPrograms(); err == nil {
		os.RemoveAll(dir)
	}
	os.Exit(status)
}

// system is a set of processes: the fakes and the instances.
type system struct {
	*testing.T
	bin       string
	platform  string   // address
	engines   []string // addresses
	services  []string
	instances []*instance
	authority *tlstest.Authority       // nil: connections are not encrypted
	useRelays bool                     // instances connect to each other through relays
	isolated  atomic.Pointer[instance] // its relayed connections are stalled
	processes sync.Map                 // process ID to *instance
}

type instance struct {
	name                      string
	callers, peers, operators string
	file                      string // settings file
	cmd                       *exec.Cmd
	log                       *bytes.Buffer
	exited                    chan struct{}
	scheme                    string
	http                      *http.Client
	files                     settings.TLSFiles
}

// start starts the fakes, with the given arguments, and n instances. It waits
// until all instances are ready.
func start(t *testing.T, n int, args ...string) *system {
	t.Helper()
	return startWith(&system{T: t}, n, args)
}

// startWith is like start, for a system whose options (authority, useRelays) are set.
func startWith(s *system, n int, args []string) *system {
	s.Helper()
	bin, err := buildPrograms()
	if err != nil {
		s.Fatal(err)
	}
	s.bin = bin
	s.startFakes(args)
	for i := range n {
		s.addInstance(fmt.Sprintf("instance-%d", i+1), fmt.Sprintf("dc-%d", i+1))
	}
	s.waitReady()
	return s
}

func (s *system) waitReady() {
	s.Helper()
	for _, in := range s.instances {
		s.waitFor("ready "+in.name, func() bool { return s.ready(in) })
	}
}

func (s *system) startFakes(args []string) {
	cmd := exec.Command(s.bin+"/standins", args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		s.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	lines := bufio.NewScanner(out)
	for lines.Scan() && lines.Text() != "ready" {
		fields := strings.Fields(lines.Text())
		switch fields[0] {
		case "platform":
			s.platform = fields[2]
		case "engine":
			s.engines = append(s.engines, fields[2])
		case "service":
			s.services = append(s.services, fields[2])
		}
	}
	if s.platform == "" {
		s.Fatal("the fakes did not start")
	}
}

// assignedPorts contains the addresses that freePort has returned.
var assignedPorts sync.Map

// freePort returns the address of a port that is not in use. The port is below the
// range from which the operating system assigns ports to outgoing connections and
// to listeners on port 0, so that it is still free when the instance starts.
// freePort returns no address twice.
func (s *system) freePort() string {
	const first, last = 10_000, 30_000
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(last-first))
		if _, assigned := assignedPorts.LoadOrStore(addr, true); assigned {
			continue
		}
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	s.Fatal("no free port found")
	return ""
}

// addInstance writes an instance's settings, adds it to the platform's list and
// starts it.
func (s *system) addInstance(name, dataCentre string) {
	in := &instance{
		name: name, callers: s.freePort(), peers: s.freePort(), operators: s.freePort(),
		log: &bytes.Buffer{}, scheme: "http", http: http.DefaultClient,
	}
	certificates, advertised := s.issueCertificate(in), in.peers
	if s.useRelays {
		advertised = s.relay(in)
	}
	in.file = filepath.Join(s.TempDir(), name+".jsonc")
	text := fmt.Sprintf(`{
		// Short periods, so that a freeze need not last long.
		"name": %q, "data_centre": %q,
		"listen": {"callers": %q, "peers": %q, "operators": %q, "advertise_peers": %q},
		"platform": {"url": "http://%s"},
		"tls": %s,
		"timing": {"lease_duration": "1s", "freshness": "1s", "gossip": "100ms", "store_poll": "200ms",
			"usage_window": "2s", "entries_keep": "1s"},
	}`, name, dataCentre, in.callers, in.peers, in.operators, advertised, s.platform, certificates)
	if err := os.WriteFile(in.file, []byte(text), 0o600); err != nil {
		s.Fatal(err)
	}
	s.control(s.platform, http.MethodPost, "/control/instances", infra.Instance{
		Name: name, DataCentre: dataCentre, PeerAddr: advertised, CallerAddr: in.callers, State: infra.InstanceLive,
	}, nil)
	s.launch(in)
	s.Cleanup(func() {
		s.kill(in)
		s.checkLog(in)
	})
	s.instances = append(s.instances, in)
}

// launch starts an instance's process.
func (s *system) launch(in *instance) {
	cmd, exited := exec.Command(s.bin+"/cumincoved", "-c", in.file), make(chan struct{})
	cmd.Stdout, cmd.Stderr = in.log, in.log
	if err := cmd.Start(); err != nil {
		s.Fatal(err)
	}
	in.cmd, in.exited = cmd, exited
	s.processes.Store(cmd.Process.Pid, in)
	go func() {
		cmd.Wait()
		close(exited)
	}()
}

func (s *system) kill(in *instance) {
	in.cmd.Process.Kill()
	<-in.exited
}

// issueCertificate issues a certificate for an instance and configures the client
// that calls the instance. It returns the TLS settings, which are empty without an
// authority.
func (s *system) issueCertificate(in *instance) string {
	if s.authority == nil {
		return "{}"
	}
	files := s.authority.Issue(in.name, 2)
	text, err := json.Marshal(settings.TLS{Callers: files, Peers: files, Operators: files})
	if err != nil {
		s.Fatal(err)
	}
	source, err := tlsfile.Load(files, slog.Default())
	if err != nil {
		s.Fatal(err)
	}
	in.scheme, in.files = "https", files
	in.http = &http.Client{Transport: &http.Transport{TLSClientConfig: source.ClientConfig()}}
	return string(text)
}

// checkLog fails the test if an instance's log contains a text that must never
// occur there.
func (s *system) checkLog(in *instance) {
	for _, bad := range []string{"invariant broken", "DATA RACE", "panic:"} {
		if strings.Contains(in.log.String(), bad) {
			s.Errorf("%s logged %q", in.name, bad)
		}
	}
	if s.Failed() {
		s.Logf("log of %s:\n%s", in.name, in.log)
	}
}

func (s *system) ready(in *instance) bool {
	resp, err := in.http.Get(in.scheme + "://" + in.operators + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (in *instance) signal(sig syscall.Signal) {
	in.cmd.Process.Signal(sig)
}

// waitFor waits until f returns true. It fails the test after waitTimeout.
func (s *system) waitFor(what string, f func() bool) {
	s.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !f() {
		if time.Now().After(deadline) {
			s.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(pollPeriod)
	}
}

// ctl runs the operators' tool against an instance and returns its output.
func (s *system) ctl(in *instance, stdin string, args ...string) string {
	s.Helper()
	cmd := exec.Command(s.bin+"/cumincovectl", append(args, "--server", in.scheme+"://"+in.operators, "--operator", "proctest",
		"--cert-file", in.files.CertFile, "--key-file", in.files.KeyFile, "--ca-file", in.files.CAFile)...)
	cmd.Stdin = strings.NewReader(stdin)
	out, err := cmd.CombinedOutput()
	if err != nil {
		s.Fatalf("cumincovectl %v: %v\n%s", args, err, out)
	}
	return string(out)
}

func (s *system) status(in *instance) api.Status {
	s.Helper()
	var st api.Status
	if err := json.Unmarshal([]byte(s.ctl(in, "", "status", "-o", "json")), &st); err != nil {
		s.Fatal(err)
	}
	return st
}

// control calls a control path of a fake. It decodes the response body into
// response unless that is nil.
func (s *system) control(addr, method, path string, msg, response any) {
	s.Helper()
	body, err := json.Marshal(msg)
	if err != nil {
		s.Fatal(err)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		s.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.Fatal(err)
	}
	defer resp.Body.Close()
	if response == nil {
		return
	}
	if err := json.NewDecoder(resp.Body).Decode(response); err != nil {
		s.Fatal(err)
	}
}

// endpointRecords returns the records of the fake endpoints at addrs.
func (s *system) endpointRecords(addrs []string) []fakeendpoint.Record {
	list := make([]fakeendpoint.Record, len(addrs))
	for i, addr := range addrs {
		s.control(addr, http.MethodGet, "/control/record", nil, &list[i])
	}
	return list
}
