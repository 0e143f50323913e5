package kit2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// programPath is what the deploy file's build makes, and templatePath the template
	// that its role names.
	programPath  = "target/cumincoved"
	templatePath = "deploy/settings.jsonc"
	readyWait    = 20 * time.Second
	pollPeriod   = 20 * time.Millisecond
)

// Machine is one machine of the system.
type Machine struct {
	Name, IP, Zone string
	MemoryMB       int
	// StoreAddr is the address at which it reaches the store, and DutiesAddr that of the
	// duties interface.
	StoreAddr, DutiesAddr string
	// AdvertisePeers, if set, is the address at which others reach its peers' port.
	AdvertisePeers string
	Dir            string

	Front, Ready, Directory, Peers string // addresses

	cmd    *exec.Cmd
	exited chan struct{}
}

// Listen chooses free ports for the machine's listeners.
func (m *Machine) Listen() error {
	for _, addr := range []*string{&m.Front, &m.Ready, &m.Directory, &m.Peers} {
		l, err := net.Listen("tcp", net.JoinHostPort(m.IP, "0"))
		if err != nil {
			return err
		}
		*addr = l.Addr().String()
		defer l.Close()
	}
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z.0-9-]+)\}\}`)

// settings fills in the deploy file's template.
func (m *Machine) settings() (string, error) {
	text, err := os.ReadFile(templatePath)
	if err != nil {
		return "", err
	}
	_, peersPort, err := net.SplitHostPort(m.Peers)
	if err != nil {
		return "", err
	}
	values := map[string]string{
		"node-name": m.Name, "zone": m.Zone, "ip": m.IP, "listen.front": m.Front, "listen.readiness": m.Ready,
		"listen.directory": m.Directory, "port-range.0": peersPort, "platform.addr": m.StoreAddr, "cloud-api.addr": m.DutiesAddr,
		"limits.cpu-share": "0.8", "limits.memory-mb": strconv.Itoa(m.MemoryMB), "bounds.report-window-s": "5",
		"limits.max-fds": "8200", "limits.cores": "1",
	}
	var missing error
	out := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		name := placeholder.FindStringSubmatch(p)[1]
		v, ok := values[name]
		if !ok {
			missing = fmt.Errorf("the template's %s is not known", p)
		}
		return v
	})
	if m.AdvertisePeers != "" {
		out = strings.Replace(out, `"listen": {`, fmt.Sprintf("\"listen\": {\n\t\t\"advertise_peers\": %q,", m.AdvertisePeers), 1)
	}
	return out, missing
}

// Start starts the process and waits until it is ready.
func (m *Machine) Start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(m.Dir, m.Name+".jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.Dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command(programPath, "-c", file)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // killed, or its end is seen by Alive
		log.Close()
		close(exited)
	}(m.cmd, m.exited)
	for until := time.Now().Add(readyWait); time.Now().Before(until); time.Sleep(pollPeriod) {
		if m.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", m.Name, readyWait)
}

// IsReady reports whether the readiness check succeeds.
func (m *Machine) IsReady() bool {
	resp, err := oneShot.Get("http://" + m.Ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// Kill ends the process, if it runs, and waits for its end.
func (m *Machine) Kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill() // it may have ended
	<-m.exited
}

// Alive reports whether the process runs.
func (m *Machine) Alive() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// MemoryNow returns the process's resident memory in MB, and zero if it has ended.
func (m *Machine) MemoryNow() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// Route is a route of the configuration.
type Route map[string]any

// Config returns a configuration with a tenant that holds Key.
func Config(version int, routes []Route, services ...map[string]any) json.RawMessage {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{Key}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// Names of the small deployment.
const (
	Host          = "ficu95.example"
	Key           = "3fexd9dnn2ctnfzs989a"
	EngineService = "huvo11a"
	PlainService  = "wuno96b"
)

// Engines describes the service of model engines.
func Engines() map[string]any {
	return map[string]any{
		"name": EngineService, "health-path": "/healthz", "max-conns": 140, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 8, "kv-capacity": 46180, "kv-bytes": 327680, "stride": 52, "most": 12, "models": []any{map[string]any{"name": Model}}},
	}
}

// Plain describes the plain service.
func Plain() map[string]any {
	return map[string]any{"name": PlainService, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": false}
}

// RolloutRoute is the route of trainers, as on the site's sheet.
func RolloutRoute() Route {
	return Route{
		"name": "r-roll", "hostname": Host, "path-prefix": "/pule252/", "route-kind": "rollout", "timeout-ms": 10000, "slo-ms": 500,
		"priority": 0, "service": EngineService, "max-attempts": 3, "public": false, "resumable": true,
		"run-deadline-ms": 7500, "queue-ttl-s": 40, "sticky": true,
	}
}

// ScoreRoute is the route of reward calls, as on the site's sheet.
func ScoreRoute() Route {
	return Route{
		"name": "r-score", "hostname": Host, "path-prefix": "/pufi791/", "route-kind": "idempotent", "timeout-ms": 2000, "slo-ms": 400,
		"priority": 2, "service": PlainService, "max-attempts": 4, "public": true,
	}
}
