// Package daemontest runs a small system in one process over loopback sockets:
// the fakes and a few instances of the real daemon. Tests and the quickstart use
// it.
package daemontest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/infra/httpapi"
	"github.com/cumincove/cumincove/internal/daemon"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/settings"
	"github.com/uber-go/tally/v4"
)

// anyPort is a loopback address with a free port, which the operating system
// selects.
const anyPort = "127.0.0.1:0"

// shutdownWait is the maximum time to wait for an instance to shut down.
const shutdownWait = 30 * time.Second

// leaseDuration is short, so that tests don't wait long for a new holder of a
// lease.
const leaseDuration = time.Second

// Options configures a System.
type Options struct {
	// DataCentres contains one entry for each instance to start: the data centre
	// of the instance.
	DataCentres []string
	// Settings, when set, changes an instance's settings before it starts.
	Settings func(*settings.Settings)
	// Platform configures the fake platform.
	Platform fakeplatform.Options
	// Log receives the instances' logs. If it is nil, they are discarded.
	Log *slog.Logger
}

// System is a running system.
type System struct {
	Platform  *fakeplatform.Platform
	Instances []*Instance

	opt         Options
	platformURL string
	closers     []func()
}

// Instance is one instance of the daemon.
type Instance struct {
	Settings settings.Settings
	Daemon   *daemon.Daemon

	cancel     context.CancelFunc
	closeConns func()
	done       chan struct{}
	err        error
}

// Endpoint is a running fake of a model engine or a plain service.
type Endpoint struct {
	*fakeendpoint.Server
	*fakeendpoint.Endpoint
	// Engine is nil for a plain service.
	Engine *fakeengine.Engine
}

// Start starts the fake platform and the instances.
func Start(opt Options) (*System, error) {
	if opt.Log == nil {
		opt.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	s := &System{opt: opt}
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	s.Platform = fakeplatform.New(opt.Platform)
	hs := &http.Server{Handler: s.Platform.Handler()}
	go hs.Serve(l)
	s.platformURL = "http://" + l.Addr().String()
	s.closers = append(s.closers, func() { hs.Close() })
	for i, dc := range opt.DataCentres {
		if _, err := s.AddInstance(fmt.Sprintf("instance-%d", i+1), dc); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// AddInstance adds an instance to the platform's list and starts it.
func (s *System) AddInstance(name, dataCentre string) (*Instance, error) {
	listeners, err := openListeners()
	if err != nil {
		return nil, err
	}
	set := settings.Default()
	set.Name = name
	set.DataCentre = dataCentre
	set.Timing.LeaseDuration = config.Duration(leaseDuration)
	set.Platform.URL = s.platformURL
	set.Listen = settings.Listen{
		Callers:   listeners[0].Addr().String(),
		Peers:     listeners[1].Addr().String(),
		Operators: listeners[2].Addr().String(),
	}
	if s.opt.Settings != nil {
		s.opt.Settings(&set)
	}
	s.Platform.SetInstance(infra.Instance{
		Name: name, DataCentre: dataCentre, State: infra.InstanceLive,
		PeerAddr: set.Listen.Peers, CallerAddr: set.Listen.Callers,
	})
	in := s.run(set, listeners)
	s.Instances = append(s.Instances, in)
	return in, nil
}

func openListeners() ([]*trackedListener, error) {
	var list []*trackedListener
	for range 3 {
		l, err := net.Listen("tcp", anyPort)
		if err != nil {
			return nil, err
		}
		list = append(list, &trackedListener{Listener: l})
	}
	return list, nil
}

func (s *System) run(set settings.Settings, listeners []*trackedListener) *Instance {
	dialer := &trackedDialer{}
	client := &http.Client{Transport: httpapi.NewTransport(dialer.dial)}
	ctx, cancel := context.WithCancel(context.Background())
	in := &Instance{Settings: set, cancel: cancel, done: make(chan struct{})}
	in.Daemon = daemon.New(daemon.Deps{
		Settings: set,
		Platform: httpapi.New(s.platformURL, client, ""),
		Clock:    clock.Boot{},
		Log:      s.opt.Log.With("instance", set.Name),
		Scope:    tally.NoopScope,
		Metrics:  http.NotFoundHandler(),
		Listen:   listenOn(listeners),
		Dial:     dialer.dial,
	})
	in.closeConns = func() {
		dialer.closeAll()
		for _, l := range listeners {
			l.closeAll()
		}
	}
	go func() {
		defer close(in.done)
		in.err = in.Daemon.Run(ctx)
	}()
	return in
}

// listenOn returns a Listen function that opens no listener: it returns the open
// one that has the address.
func listenOn(listeners []*trackedListener) func(network, addr string) (net.Listener, error) {
	return func(_, addr string) (net.Listener, error) {
		for _, l := range listeners {
			if l.Addr().String() == addr {
				return l, nil
			}
		}
		return nil, errors.New("no listener is open at " + addr)
	}
}

// Stop shuts the instance down gracefully and waits until it has ended.
func (in *Instance) Stop() error {
	in.cancel()
	select {
	case <-in.done:
		return in.err
	case <-time.After(shutdownWait):
		return fmt.Errorf("instance %s did not end within %s", in.Settings.Name, shutdownWait)
	}
}

// CutConnections permanently closes every connection and listener of the
// instance. To the rest of the system this looks like a crash of the instance.
// The instance itself continues to run and can reach nothing.
func (in *Instance) CutConnections() {
	in.closeConns()
}

// AddEngine starts a fake model engine and returns it with its configuration
// object.
func (s *System) AddEngine(name, dataCentre string, labels map[string]string, opt fakeengine.Options) (*Endpoint, config.Endpoint, error) {
	e := fakeengine.New(opt)
	return s.addEndpoint(name, dataCentre, labels, &Endpoint{Endpoint: e.Endpoint, Engine: e}, e.Handler())
}

// AddService starts a fake plain service and returns it with its configuration
// object.
func (s *System) AddService(name, dataCentre string, labels map[string]string, delay time.Duration) (*Endpoint, config.Endpoint, error) {
	e := fakeendpoint.NewService(delay)
	return s.addEndpoint(name, dataCentre, labels, &Endpoint{Endpoint: e.Endpoint}, e.Handler())
}

func (s *System) addEndpoint(name, dataCentre string, labels map[string]string, e *Endpoint, h http.Handler) (*Endpoint, config.Endpoint, error) {
	server, err := fakeendpoint.Serve(anyPort, e.Endpoint, h)
	if err != nil {
		return nil, config.Endpoint{}, err
	}
	e.Server = server
	s.closers = append(s.closers, server.Close)
	return e, config.Endpoint{
		Meta:       config.Meta{Name: name, Labels: labels},
		DataCentre: dataCentre,
		Addr:       server.Addr(),
	}, nil
}

// Close stops the system at once, without a graceful shutdown of the instances.
func (s *System) Close() {
	var wg sync.WaitGroup
	for _, in := range s.Instances {
		in.cancel()
		in.closeConns()
		wg.Go(func() { <-in.done })
	}
	for _, c := range s.closers {
		c()
	}
	wg.Wait()
}
