package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	daemonPath   = "target/cumincoved"
	templatePath = "deploy/settings.jsonc"
	// readyTimeout bounds the start of an instance, and stopTimeout its end.
	readyTimeout = 15 * time.Second
	stopTimeout  = 12 * time.Second
	// heartbeat is the time between two writes of a replica's entry.
	heartbeat = 1200 * time.Millisecond
	// memoryMB and cpuShare are the limits of an instance of a small deployment.
	memoryMB = 314
	cpuShare = 0.8
)

// failure ends a case that can't run.
type failure struct{ err error }

func check(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{file: f, started: time.Now()}
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a running system with its surroundings.
type deployment struct {
	rec       *record
	store     *store
	dir       string
	instances []*instance
	ips       *loopbackIPs
	storeAddr string
	dutyAddr  string
}

// loopbackIPs hands out addresses of the loopback range. Each instance has one of its
// own, as the operators' port is the same on all machines.
type loopbackIPs struct {
	net  [2]byte
	next byte
}

func (l *loopbackIPs) take() string {
	l.next++
	return fmt.Sprintf("127.%d.%d.%d", l.net[0], l.net[1], l.next)
}

func newDeployment(rec *record) *deployment {
	dir, err := os.MkdirTemp("", "stage")
	check(err)
	ips := &loopbackIPs{net: [2]byte{byte(1 + rand.IntN(250)), byte(rand.IntN(250))}, next: 1}
	d := &deployment{rec: rec, store: newStore(), dir: dir, ips: ips}
	d.storeAddr = d.listen(d.store.serve)
	d.dutyAddr = d.listen(serveDuties)
	return d
}

// listen opens a listener at a free port and serves it.
func (d *deployment) listen(serve func(net.Listener)) string {
	l, err := net.Listen("tcp", d.ips.take()+":0")
	check(err)
	go serve(l)
	return l.Addr().String()
}

// serveDuties accepts all calls of the platform's interface for duties.
func serveDuties(l net.Listener) {
	ok := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
	_ = http.Serve(l, http.HandlerFunc(ok)) // ends with the listener
}

// instance is one process of the daemon.
type instance struct {
	name, ip, file                     string
	callers, readiness, entries, peers string
	cmd                                *exec.Cmd
	pid                                atomic.Int64
	log                                *os.File
}

// freePorts returns n addresses of an IP at which nothing listens now.
func freePorts(ip string, n int) []string {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		check(err)
		defer l.Close() // all stay open until the end, so that they differ
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

// start starts n instances in as many zones, and waits until they are ready.
func (d *deployment) start(n int) {
	for i := range n {
		in := &instance{name: fmt.Sprintf("frontend-zone-%c-1", 'a'+i), ip: d.ips.take()}
		ports := freePorts(in.ip, 4)
		in.callers, in.readiness, in.entries, in.peers = ports[0], ports[1], ports[2], ports[3]
		in.file = filepath.Join(d.dir, in.name+".json")
		check(os.WriteFile(in.file, d.settings(in, i), 0o600))
		d.instances = append(d.instances, in)
		d.run(in)
	}
	for _, in := range d.instances {
		d.waitReady(in)
	}
}

// settings fills in the template of the deploy file.
func (d *deployment) settings(in *instance, zone int) []byte {
	_, peerPort, _ := strings.Cut(in.peers, ":")
	fields := map[string]any{
		"node-name": in.name, "zone": fmt.Sprintf("zone-%c", 'a'+zone), "ip": in.ip,
		"listen.front": in.callers, "listen.readiness": in.readiness, "listen.directory": in.entries,
		"port-range.0": peerPort, "platform.addr": d.storeAddr, "cloud-api.addr": d.dutyAddr,
		"limits.cpu-share": cpuShare, "limits.memory-mb": memoryMB, "bounds.report-window-s": 5,
	}
	text, err := os.ReadFile(templatePath)
	check(err)
	placeholder := regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
	return placeholder.ReplaceAllFunc(text, func(m []byte) []byte {
		value, ok := fields[string(m[2:len(m)-2])]
		if !ok {
			check(fmt.Errorf("template: unknown placeholder %s", m))
		}
		return fmt.Append(nil, value)
	})
}

// run starts the process of an instance.
func (d *deployment) run(in *instance) {
	if in.log == nil {
		f, err := os.Create(filepath.Join(d.dir, in.name+".log"))
		check(err)
		in.log = f
	}
	in.cmd = exec.Command(daemonPath, "-c", in.file)
	in.cmd.Stdout, in.cmd.Stderr = in.log, in.log
	in.cmd.Env = []string{"CUMINCOVE_NODE_FILE=" + in.file, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	check(in.cmd.Start())
	in.pid.Store(int64(in.cmd.Process.Pid))
	d.rec.logf("instance %s started, callers at %s", in.name, in.callers)
}

func (d *deployment) waitReady(in *instance) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + in.readiness + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	check(fmt.Errorf("instance %s is not ready", in.name))
}

// signal sends a signal to an instance.
func (d *deployment) signal(in *instance, s syscall.Signal) {
	d.rec.logf("instance %s: signal %v", in.name, s)
	_ = in.cmd.Process.Signal(s) // it may have ended
}

// stop ends all instances and removes their files.
func (d *deployment) stop() {
	for _, in := range d.instances {
		_ = in.cmd.Process.Kill() // it may have ended
		_ = in.cmd.Wait()
		in.log.Close()
	}
	if keep := os.Getenv("STAGE_KEEP"); keep != "" {
		fmt.Fprintln(os.Stderr, "logs in", d.dir)
		return
	}
	os.RemoveAll(d.dir)
}

// object is a JSON object.
type object = map[string]any

// putConfig writes a configuration with the usual limits.
func (d *deployment) putConfig(version int, routes, services, tenants []object) {
	at := d.store.put("op", "config", object{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	data, err := json.Marshal(routes)
	check(err)
	d.rec.logf("config %d confirmed at %s: routes %s", version, at.Format("15:04:05.000"), data)
}
