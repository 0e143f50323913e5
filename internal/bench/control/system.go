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
	// dataCentres and members are those of the target.
	dataCentres = 10
	members     = 15
	// patience bounds the wait for all instances to be ready.
	patience = 2 * time.Minute
	poll     = 100 * time.Millisecond
)

// system is the stand-ins and the instances' processes.
type system struct {
	platform  *fakeplatform.Platform
	instances []instance
	servers   []*http.Server
}

type instance struct {
	name, callers, peers, operators string
	cmd                             *exec.Cmd
}

func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }

func start(f flags, daemon, dir string, n int) (*system, error) {
	s := &system{platform: fakeplatform.New(fakeplatform.Options{})}
	store, err := s.serve("127.0.0.1:0", s.platform.Handler())
	if err != nil {
		return nil, err
	}
	for i := range n {
		if err := s.launch(f, daemon, dir, store, i); err != nil {
			s.stop()
			return nil, err
		}
	}
	if err := s.configure(int(f.endpoints * float64(n))); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// serve answers at addr and returns the address with its port.
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

func (s *system) launch(f flags, daemon, dir, store string, i int) error {
	in := instance{name: fmt.Sprintf("instance-%d", i)}
	for _, addr := range []*string{&in.callers, &in.peers, &in.operators} {
		var err error
		if *addr, err = freeAddr(); err != nil {
			return err
		}
	}
	file := filepath.Join(dir, in.name+".jsonc")
	text := fmt.Sprintf(`{"name": %q, "data_centre": %q, "listen": {"callers": %q, "peers": %q, "operators": %q},
		"platform": {"url": "http://%s"}, "timing": %s}`,
		in.name, dataCentre(i), in.callers, in.peers, in.operators, store, f.settings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	s.platform.SetInstance(infra.Instance{
		Name: in.name, DataCentre: dataCentre(i), PeerAddr: in.peers, CallerAddr: in.callers, State: infra.InstanceLive,
	})
	in.cmd = exec.Command(daemon, "-c", file)
	s.instances = append(s.instances, in)
	return in.cmd.Start()
}

// freeAddr finds an address that nothing listens on. The port is below those
// that the system gives out.
func freeAddr() (string, error) {
	for port := nextPort; port < lastPort; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			nextPort = port + 1
			return addr, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// nextPort is the port to try next.
var nextPort = 10_000

const lastPort = 30_000

// configure gives the deployment n engines, all of which one process stands in
// for, and the member list.
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

// change commits a change, once the one before is in force.
func (s *system) change(put config.Objects) error {
	c := &api.Client{BaseURL: "http://" + s.instances[0].operators, Operator: "bench", HTTP: http.DefaultClient}
	return eventually(func() error {
		_, err := c.Change(context.Background(), api.ChangeRequest{Put: put})
		return err
	})
}

// ready waits until every instance may serve.
func (s *system) ready() error {
	for _, in := range s.instances {
		err := eventually(func() error {
			resp, err := http.Get("http://" + in.operators + "/readyz")
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

func eventually(f func() error) error {
	deadline := time.Now().Add(patience)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(poll)
	}
}

func (s *system) sample() (*sample, error) {
	r := s.platform.Record()
	out := &sample{at: time.Now(), reads: r.Reads, writes: r.Writes}
	for _, in := range s.instances {
		u, err := usageOf(in.cmd.Process.Pid)
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
