package standin

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Paths from the root of the repository, as in deploy/system.toml.
const (
	program  = "target/cumincoved"
	template = "deploy/settings.jsonc"
)

// Instance is a process of the daemon.
type Instance struct {
	Name    string
	Zone    string
	Callers string
	// Link is the instance's way to the store.
	Link *Link

	readiness string
	settings  string
	log       *os.File
	cmd       *exec.Cmd
}

// Platform is what an instance needs to know of the platform.
type Platform struct {
	Store  *Store
	Duties string
	// Dir is the folder for settings files and logs.
	Dir string
}

// freePort returns a port that is free at an address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	return port, err
}

// StartInstance renders the settings of an instance with a loopback address of its
// own, and starts it.
func StartInstance(name, zone, ip string, p Platform) (*Instance, error) {
	raw, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	link, err := p.Store.NewLink(ip)
	if err != nil {
		return nil, err
	}
	var ports [4]string
	for i := range ports {
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	at := func(i int) string { return net.JoinHostPort(ip, ports[i]) }
	text := strings.NewReplacer(
		"{{node-name}}", name, "{{zone}}", zone, "{{listen.front}}", at(0), "{{listen.readiness}}", at(1),
		"{{listen.directory}}", at(2), "{{ip}}", ip, "{{port-range.0}}", ports[3],
		"{{platform.addr}}", link.Addr, "{{cloud-api.addr}}", p.Duties, "{{limits.cpu-share}}", "0.8",
		"{{limits.memory-mb}}", "304", "{{bounds.report-window-s}}", "5",
	).Replace(string(raw))
	in := &Instance{Name: name, Zone: zone, Callers: at(0), Link: link, readiness: at(1), settings: filepath.Join(p.Dir, name+".jsonc")}
	if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if in.log, err = os.Create(filepath.Join(p.Dir, name+".log")); err != nil {
		return nil, err
	}
	return in, in.Start()
}

// Start starts the instance's process.
func (in *Instance) Start() error {
	in.cmd = exec.Command(program, "-c", in.settings)
	in.cmd.Stdout, in.cmd.Stderr = in.log, in.log
	in.cmd.Env = append(os.Environ(), "CUMINCOVE_NODE_FILE="+in.settings)
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return in.cmd.Start()
}

// Signal sends a signal to the process.
func (in *Instance) Signal(s syscall.Signal) error { return in.cmd.Process.Signal(s) }

// Kill ends the process and waits for its end.
func (in *Instance) Kill() {
	_ = in.cmd.Process.Kill() // it may have ended
	_ = in.cmd.Wait()         // the status tells no more
}

// Ready reports whether the instance answers that it is ready.
func (in *Instance) Ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + in.readiness + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all instances are ready.
func WaitReady(list []*Instance, wait time.Duration) error {
	until := time.Now().Add(wait)
	for _, in := range list {
		for !in.Ready() {
			if time.Now().After(until) {
				return fmt.Errorf("instance %s is not ready", in.Name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// Wait waits for the end of the process.
func (in *Instance) Wait() { _ = in.cmd.Wait() } // the status tells no more

// PID returns the ID of the process.
func (in *Instance) PID() int { return in.cmd.Process.Pid }
