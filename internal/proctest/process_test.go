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
	// patience bounds waits for things that must happen at some time.
	patience = 60 * time.Second
	// poll is the period between two looks at something awaited.
	poll = 20 * time.Millisecond
)

// build compiles the programs once and returns their folder.
var build = sync.OnceValues(func() (string, error) {
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
	if dir, err := build(); err == nil {
		os.RemoveAll(dir)
	}
	os.Exit(status)
}

// system is the stand-ins and the instances, each a process.
type system struct {
	*testing.T
	bin       string
	platform  string   // address
	engines   []string // addresses
	services  []string
	instances []*instance
	authority *tlstest.Authority // nil: nothing is encrypted
	relayed   bool               // instances reach each other through relays
	cutOff    atomic.Pointer[instance]
	processes sync.Map // *instance by process ID
}

type instance struct {
	name                      string
	callers, peers, operators string
	file                      string // of settings
	cmd                       *exec.Cmd
	log                       *bytes.Buffer
	exited                    chan struct{}
	scheme                    string
	http                      *http.Client
	files                     settings.TLSFiles
}

// start runs the stand-ins and n instances, and waits until all are ready.
func start(t *testing.T, n int, standins ...string) *system {
	t.Helper()
	return startWith(&system{T: t}, n, standins)
}

// startWith starts a system that is set up in a way of its own.
func startWith(s *system, n int, standins []string) *system {
	s.Helper()
	bin, err := build()
	if err != nil {
		s.Fatal(err)
	}
	s.bin = bin
	s.startStandins(standins)
	for i := range n {
		s.addInstance(fmt.Sprintf("instance-%d", i+1), fmt.Sprintf("dc-%d", i+1))
	}
	s.untilReady()
	return s
}

func (s *system) untilReady() {
	s.Helper()
	for _, in := range s.instances {
		s.until("ready "+in.name, func() bool { return s.ready(in) })
	}
}

func (s *system) startStandins(args []string) {
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
		word := strings.Fields(lines.Text())
		switch word[0] {
		case "platform":
			s.platform = word[2]
		case "engine":
			s.engines = append(s.engines, word[2])
		case "service":
			s.services = append(s.services, word[2])
		}
	}
	if s.platform == "" {
		s.Fatal("the stand-ins did not start")
	}
}

// givenPorts holds what freePort has found.
var givenPorts sync.Map

// freePort finds a port that nothing listens on, below those that the system
// gives to outgoing connections and to listeners that ask for any port, so that
// it is still free when the instance starts. It finds none twice.
func (s *system) freePort() string {
	const first, last = 10_000, 30_000
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(last-first))
		if _, given := givenPorts.LoadOrStore(addr, true); given {
			continue
		}
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	s.Fatal("no port is free")
	return ""
}

func (s *system) addInstance(name, dataCentre string) {
	in := &instance{
		name: name, callers: s.freePort(), peers: s.freePort(), operators: s.freePort(),
		log: &bytes.Buffer{}, scheme: "http", http: http.DefaultClient,
	}
	certificates, advertised := s.certify(in), in.peers
	if s.relayed {
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
	cmd.Stderr = in.log
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

// certify returns the instance's TLS settings and sets up how it is called.
func (s *system) certify(in *instance) string {
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
	in.http = &http.Client{Transport: &http.Transport{TLSClientConfig: source.Client()}}
	return string(text)
}

// checkLog looks for what no instance may ever log.
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

// until waits for something that must happen.
func (s *system) until(what string, f func() bool) {
	s.Helper()
	deadline := time.Now().Add(patience)
	for !f() {
		if time.Now().After(deadline) {
			s.Fatalf("in vain: %s", what)
		}
		time.Sleep(poll)
	}
}

// ctl runs the operators' tool at an instance and returns what it printed.
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

// control calls a control path of a stand-in.
func (s *system) control(addr, method, path string, msg, answer any) {
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
	if answer == nil {
		return
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		s.Fatal(err)
	}
}

// records returns what the stand-ins at these addresses saw.
func (s *system) records(addrs []string) []fakeendpoint.Record {
	list := make([]fakeendpoint.Record, len(addrs))
	for i, addr := range addrs {
		s.control(addr, http.MethodGet, "/control/record", nil, &list[i])
	}
	return list
}
