package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/label"
)

const (
	// dataCentres and members are the numbers of data centres and of members in
	// the target deployment.
	dataCentres = 10
	members     = 15
	// waitTimeout bounds each wait, for a change to be accepted or for an
	// instance to be ready.
	waitTimeout  = 2 * time.Minute
	pollInterval = 100 * time.Millisecond
)

// system contains the fake platform and engines and the instances' processes.
type system struct {
	platform  *fakeplatform.Platform
	instances []instance
	servers   []*http.Server
}

type instance struct {
	name, callerAddr, peerAddr, operatorAddr string
	cmd                                      *exec.Cmd
}

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

func start(f flags, daemon, dir string, n int) (*system, error) {
	s := &system{platform: fakeplatform.New(fakeplatform.Options{})}
	storeAddr, err := s.serve("127.0.0.1:0", s.platform.Handler())
	if err != nil {
		return nil, err
	}
	for i := range n {
		if err := s.launch(f, daemon, dir, storeAddr, i); err != nil {
			s.stop()
			return nil, err
		}
	}
	if err := s.configure(int(f.endpointsPerInstance * float64(n))); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// serve starts an HTTP server at addr and returns its address with the port
// that it listens on.
func (s *system) serve(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", err
	}
	hs := &http.Server{Handler: h}
	s.servers = append(s.servers, hs)
	go hs.Serve(l)
	return l.Addr().String(), nil
}

// launch starts instance i, which uses the platform at storeAddr.
func (s *system) launch(f flags, daemon, dir, storeAddr string, i int) error {
	in := instance{name: fmt.Sprintf("instance-%d", i)}
	for _, addr := range []*string{&in.callerAddr, &in.peerAddr, &in.operatorAddr} {
		var err error
		if *addr, err = freeAddr(); err != nil {
			return err
		}
	}
	file := filepath.Join(dir, in.name+".jsonc")
	text := fmt.Sprintf(`{"name": %q, "data_centre": %q, "listen": {"callers": %q, "peers": %q, "operators": %q},
		"platform": {"url": "http://%s"}, "timing": %s}`,
		in.name, dataCentre(i), in.callerAddr, in.peerAddr, in.operatorAddr, storeAddr, f.timing)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	s.platform.SetInstance(infra.Instance{
		Name: in.name, DataCentre: dataCentre(i), PeerAddr: in.peerAddr, CallerAddr: in.callerAddr, State: infra.InstanceLive,
	})
	in.cmd = exec.Command(daemon, "-c", file)
	s.instances = append(s.instances, in)
	return in.cmd.Start()
}

// freeAddr returns a loopback address that no process listens on. Its port is
// below the system's range of ephemeral ports.
func freeAddr() (string, error) {
	for port := nextPort; port < portLimit; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			nextPort = port + 1
			return addr, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// nextPort is the port that freeAddr tries next.
var nextPort = 10_000

// portLimit is the end of the range of ports that freeAddr tries, exclusive.
const portLimit = 30_000

// configure adds n engines and the member list to the configuration. One fake
// engine in this process serves the addresses of all n engines.
func (s *system) configure(n int) error {
	addr, err := s.serve("0.0.0.0:0", fakeengine.New(fakeengine.Options{Version: 1}).Handler())
	if err != nil {
		return err
	}
	_, port, _ := net.SplitHostPort(addr)
	put := config.Objects{
		Teams: []config.Team{{Meta: config.Meta{Name: "team"}}},
		Services: []config.Service{{
			Meta: config.Meta{Name: "tagger"}, Type: config.ServiceEngine, Open: true, Endpoints: label.MustParse(""),
		}},
	}
	for i := range n {
		put.Endpoints = append(put.Endpoints, config.Endpoint{
			Meta: config.Meta{Name: fmt.Sprintf("engine-%d", i)}, DataCentre: dataCentre(i),
			Addr: fmt.Sprintf("127.1.%d.%d:%s", i/250, i%250+1, port),
		})
	}
	if err := s.change(put); err != nil {
		return err
	}
	for _, in := range s.instances[:min(members, len(s.instances))] {
		if err := s.change(config.Objects{Members: []config.Member{{Meta: config.Meta{Name: in.name}}}}); err != nil {
			return err
		}
	}
	return nil
}

// change commits a change. It retries until the previous change is in force.
func (s *system) change(put config.Objects) error {
	c := &api.Client{BaseURL: "http://" + s.instances[0].operatorAddr, Operator: "bench", HTTP: http.DefaultClient}
	return eventually(func() error {
		_, err := c.Change(context.Background(), api.ChangeRequest{Put: put})
		return err
	})
}

// waitReady waits until every instance reports that it is ready.
func (s *system) waitReady() error {
	for _, in := range s.instances {
		err := eventually(func() error {
			resp, err := http.Get("http://" + in.operatorAddr + "/readyz")
			if err != nil {
				return err
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s: %s", in.name, resp.Status)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// eventually calls f until it succeeds or waitTimeout has passed, and returns
// its last error.
func eventually(f func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// sample reads the usage of all instances and the counts of the store.
func (s *system) sample() (*sample, error) {
	r := s.platform.Record()
	out := &sample{at: time.Now(), reads: r.Reads, writes: r.Writes}
	for _, in := range s.instances {
		u, err := readUsage(in.cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		out.processes = append(out.processes, u)
	}
	return out, nil
}

func (s *system) stop() {
	for _, in := range s.instances {
		if in.cmd.Process != nil {
			_ = in.cmd.Process.Kill()
			_ = in.cmd.Wait()
		}
	}
	for _, hs := range s.servers {
		hs.Close()
	}
}
