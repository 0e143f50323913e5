package main

import (
	"context"
	"errors"
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
	"syscall"
	"time"
)

const (
	// template is the template of the settings, and program the program that the
	// deploy file starts.
	template = "deploy/settings.jsonc"
	program  = "target/cumincoved"
	// startTimeout bounds the wait until a machine is ready.
	startTimeout = 20 * time.Second
	// configVersion is the version of the config in all cases.
	configVersion = 3
	// hostname is the host of all routes, and apiKey the key of tenantName.
	hostname   = "ficu95.example"
	apiKey     = "i9n73hh2b9wu3fexd9dn"
	tenantName = "kaje80"
)

// world is one small deployment with its stand-ins.
type world struct {
	rec *record
	// trouble is false if the case is played without its disruption.
	trouble  bool
	dir      string
	store    *store
	ctx      context.Context
	stop     context.CancelFunc
	machines []*machine
	// events returns the number of events of an item, and runs, if set, notes the
	// engines' runs.
	events func(id string) int
	runs   *runLog

	mu      sync.Mutex
	servers []*http.Server
}

func newWorld(rec *record, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "cumincove-review")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, trouble: trouble, dir: dir, store: newStore(), events: func(string) int { return longItem }}
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w, nil
}

// close ends all processes that were started, and the stand-ins.
func (w *world) close() {
	w.stop()
	for _, m := range w.machines {
		m.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.Close()
	}
	os.RemoveAll(w.dir)
}

// serve serves a handler at a free loopback address, which it returns.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go s.Serve(l)
	return l.Addr().String(), nil
}

// addReplica starts a replica that registers itself.
func (w *world) addReplica(o replicaOptions) error {
	r, err := newReplica(w.rec, w.store, o)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.servers = append(w.servers, r.server)
	w.mu.Unlock()
	go r.beat(w.ctx)
	return nil
}

// machine is one machine of the system with its process.
type machine struct {
	name, zone string
	// front and readiness are addresses of its process.
	front, readiness string
	cmd              *exec.Cmd
	exited           chan struct{}
}

// firstPort and lastPort bound the ports of the machines' addresses. They are below
// those that the kernel assigns, so that nothing else takes one before the process.
const (
	firstPort = 12_000
	lastPort  = 30_000
	maxTries  = 200
)

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr() (string, error) {
	for range maxTries {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		l.Close()
		return addr, nil
	}
	return "", errors.New("no free port")
}

// operatorsPort is the port of metrics in the template.
const operatorsPort = ":9464"

func portOf(addr string) string { return addr[strings.LastIndex(addr, ":")+1:] }

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// settings fills in the template of the deploy file.
func settings(fields map[string]string) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	var missing error
	out := placeholder.ReplaceAllStringFunc(string(text), func(m string) string {
		name := strings.Trim(m, "{}")
		value, ok := fields[name]
		if !ok {
			missing = fmt.Errorf("the template has the unknown field %q", name)
		}
		return value
	})
	return out, missing
}

// addMachine starts a machine. If its process ends at once, because something else has
// taken one of its ports, it starts it at others.
func (w *world) addMachine(name, zone string) (*machine, error) {
	storeAddr, err := w.serve(w.store.handler(name))
	if err != nil {
		return nil, err
	}
	duties, err := w.serve(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		w.rec.printf("platform: %s %s from %s, epoch %s", r.Method, r.URL.Path, r.Header.Get("Cumincove-Duty-Holder"), r.Header.Get("Cumincove-Fence-Token"))
	}))
	if err != nil {
		return nil, err
	}
	for range maxStarts {
		m := &machine{name: name, zone: zone, exited: make(chan struct{})}
		file, err := w.writeSettings(m, storeAddr, duties)
		if err != nil {
			return nil, err
		}
		if err := w.start(m, file); err != nil {
			return nil, err
		}
		select {
		case <-m.exited:
		case <-time.After(startWatch):
			w.machines = append(w.machines, m)
			return m, nil
		}
	}
	return nil, errors.New("the process of " + name + " ends at once")
}

const (
	// maxStarts is the number of tries to start a machine, and startWatch the time
	// within which a process ends that can't listen.
	maxStarts  = 3
	startWatch = 150 * time.Millisecond
)

// writeSettings writes the settings file of a machine at free addresses, and returns its
// path.
func (w *world) writeSettings(m *machine, storeAddr, duties string) (string, error) {
	addrs := make([]string, 5)
	for i := range addrs {
		addr, err := freeAddr()
		if err != nil {
			return "", err
		}
		addrs[i] = addr
	}
	m.front, m.readiness = addrs[0], addrs[1]
	text, err := settings(map[string]string{
		"node-name": m.name, "zone": m.zone, "listen.front": m.front, "listen.readiness": m.readiness,
		"listen.directory": addrs[2], "ip": "127.0.0.1", "port-range.0": portOf(addrs[3]), "platform.addr": storeAddr,
		"cloud-api.addr": duties, "limits.cpu-share": "0.8", "limits.memory-mb": "314", "bounds.report-window-s": "5",
	})
	if err != nil {
		return "", err
	}
	text = strings.ReplaceAll(text, operatorsPort, ":"+portOf(addrs[4])) // all machines have one address here
	file := filepath.Join(w.dir, m.name+".jsonc")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// restart starts a machine's process again, with the same settings.
func (w *world) restart(m *machine) error {
	m.exited = make(chan struct{})
	return w.start(m, filepath.Join(w.dir, m.name+".jsonc"))
}

func (w *world) start(m *machine, file string) error {
	dir := w.dir
	if logs := os.Getenv("REVIEW_LOGS"); logs != "" {
		dir = logs
	}
	log, err := os.OpenFile(filepath.Join(dir, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(program, "-c", file)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.Env = append([]string{"CUMINCOVE_NODE_FILE=" + file}, "PATH="+os.Getenv("PATH"), "HOME="+os.Getenv("HOME"))
	if err := m.cmd.Start(); err != nil {
		return err
	}
	w.rec.printf("machine %s started, process %d, clients at %s", m.name, m.cmd.Process.Pid, m.front)
	exited := m.exited
	go func() {
		err := m.cmd.Wait()
		w.rec.printf("machine %s: its process ended: %v", m.name, err)
		log.Close()
		close(exited)
	}()
	return nil
}

// kill ends the machine's process if it still runs.
func (m *machine) kill() {
	select {
	case <-m.exited:
		return
	default:
	}
	_ = m.cmd.Process.Signal(syscall.SIGCONT) // it may have ended meanwhile
	_ = m.cmd.Process.Kill()
	<-m.exited
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range w.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return errors.New("a machine is not ready: " + m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.rec.printf("all machines are ready")
	return nil
}

func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.readiness + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
