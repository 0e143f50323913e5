// Package daemontest runs a small system in one process over loopback
// sockets: the stand-ins and a few instances of the real daemon. Tests and the
// quickstart share it.
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

// anyPort asks the system for a free port.
const anyPort = "127.0.0.1:0"

// shutdownWait bounds the wait for instances to end.
const shutdownWait = 30 * time.Second

// leaseDuration is short, so that tests need not wait long for a holder.
const leaseDuration = time.Second

// Options says what to run.
type Options struct {
	// DataCentres gives an instance for each entry, placed there.
	DataCentres []string
	// Settings, when set, changes an instance's settings before it starts.
	Settings func(*settings.Settings)
	// Platform says how the platform's stand-in behaves.
	Platform fakeplatform.Options
	// Log takes the instances' logs; nil drops them.
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

	cancel context.CancelFunc
	kill   func()
	done   chan struct{}
	err    error
}

// Endpoint is a running stand-in of a model engine or a plain service.
type Endpoint struct {
	*fakeendpoint.Server
	*fakeendpoint.Endpoint
	// Engine is nil for a plain service.
	Engine *fakeengine.Engine
}

// Start runs the platform's stand-in and the instances.
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

// AddInstance starts one more instance and puts it on the platform's list.
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
		Listen:   pick(listeners),
		Dial:     dialer.dial,
	})
	in.kill = func() {
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

// pick returns a Listen function that hands out listeners that are open
// already.
func pick(listeners []*trackedListener) func(network, addr string) (net.Listener, error) {
	return func(_, addr string) (net.Listener, error) {
		for _, l := range listeners {
			if l.Addr().String() == addr {
				return l, nil
			}
		}
		return nil, errors.New("no listener is open at " + addr)
	}
}

// Stop shuts the instance down gracefully and waits for its end.
func (in *Instance) Stop() error {
	in.cancel()
	select {
	case <-in.done:
		return in.err
	case <-time.After(shutdownWait):
		return fmt.Errorf("instance %s did not end within %s", in.Settings.Name, shutdownWait)
	}
}

// Cut closes every connection and listener of the instance for good, which is
// how its end looks to all others. The instance itself goes on and finds
// nothing reachable.
func (in *Instance) Cut() {
	in.kill()
}

// AddEngine starts a model engine and returns it with the configuration object
// that names it.
func (s *System) AddEngine(name, dataCentre string, labels map[string]string, opt fakeengine.Options) (*Endpoint, config.Endpoint, error) {
	e := fakeengine.New(opt)
	return s.addEndpoint(name, dataCentre, labels, &Endpoint{Endpoint: e.Endpoint, Engine: e}, e.Handler())
}

// AddService starts a plain service and returns it with the configuration
// object that names it.
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

// Close ends everything at once.
func (s *System) Close() {
	var wg sync.WaitGroup
	for _, in := range s.Instances {
		in.cancel()
		in.kill()
		wg.Go(func() { <-in.done })
	}
	for _, c := range s.closers {
		c()
	}
	wg.Wait()
}
