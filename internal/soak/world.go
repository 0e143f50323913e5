package soak

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/infra/httpapi"
	"github.com/cumincove/cumincove/internal/daemon"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/memnet"
	"github.com/cumincove/cumincove/settings"
	"github.com/uber-go/tally/v4"
)

const (
	platformHost = "platform"
	platformAddr = "127.0.0.1:9000"
	clientHost   = "client"
	// engineHost prefixes the hosts of engines, serviceHost those of plain
	// services.
	engineHost  = "engine"
	serviceHost = "service"

	engineCount  = 4
	serviceCount = 2
	// enginePort and servicePort are the ports of the first of each.
	enginePort  = 9100
	servicePort = 9200
	orderedPort = 9300
	// instancePort is the callers' port of the first instance; the peers' and
	// operators' ports follow.
	instancePort = 7000

	// tokenDelay is the time an engine takes for a token.
	tokenDelay = 5 * time.Millisecond
	// startDelay is the time an ordered endpoint takes to start.
	startDelay = 2 * time.Second
	// usageWindow is the length of a usage window in the run.
	usageWindow = 20 * time.Second
	// entriesKeep is how long callers keep an address.
	entriesKeep = 5 * time.Second
	requestTime = 40 * time.Second
)

var dataCentres = []string{"dc-a", "dc-b", "dc-c"}

// world is the system under test with all that surrounds it.
type world struct {
	seed     uint64
	net      *memnet.Network
	platform *fakeplatform.Platform
	oracle   *oracle

	mu        sync.Mutex
	instances []*instance
	backends  []*backend
	serial    int // of instances ever started
	faults    fakeplatform.Faults

	// content numbers requests, so that each has a content of its own.
	content atomic.Uint64
	log     *slog.Logger
	closers []func()
}

// backend is one stand-in endpoint with its object.
type backend struct {
	host   string
	object config.Endpoint
	*fakeendpoint.Endpoint
	engine *fakeengine.Engine // nil for plain services
	server *fakeendpoint.Server
}

// instance is one running daemon.
type instance struct {
	name   string
	set    settings.Settings
	daemon *daemon.Daemon
	clock  *bootClock
	client *http.Transport
	cancel context.CancelFunc
	done   chan struct{}
	// leaving is set from the start of a graceful stop.
	leaving atomic.Bool
	// version is the highest configuration version that it said it has.
	version atomic.Uint64
}

// bootClock is the boot time of an instance. While the instance is frozen it
// stands still, since nothing there reads it; then it is true again.
type bootClock struct {
	start time.Time

	mu      sync.Mutex
	frozen  bool
	stopped time.Duration
}

// Now returns the time since the start.
func (c *bootClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen {
		return c.stopped
	}
	return time.Since(c.start)
}

// stop reports false if the clock stood still already.
func (c *bootClock) stop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen {
		return false
	}
	c.frozen, c.stopped = true, time.Since(c.start)
	return true
}

func (c *bootClock) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = false
}

func newWorld(seed uint64, instances int, logTo io.Writer) (*world, error) {
	w := &world{
		seed:   seed,
		net:    memnet.New(),
		oracle: &oracle{},
		log:    slog.New(slog.NewTextHandler(logTo, nil)),
	}
	w.platform = fakeplatform.New(fakeplatform.Options{StartDelay: startDelay, Launch: w.launch})
	l, err := w.net.Host(platformHost).Listen("tcp", platformAddr)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: w.platform.Handler()}
	go srv.Serve(l)
	w.closers = append(w.closers, func() { srv.Close() })
	for i := range engineCount {
		if err := w.addEngine(i); err != nil {
			return nil, err
		}
	}
	for i := range serviceCount {
		if err := w.addService(i); err != nil {
			return nil, err
		}
	}
	for i := range instances {
		w.startInstance(dataCentres[i%len(dataCentres)])
	}
	return w, nil
}

// random returns the source of one actor, which depends on the seed and the
// actor's name only.
func (w *world) random(actor string) *rand.Rand {
	h := w.seed
	for _, c := range actor {
		h = h*1099511628211 + uint64(c)
	}
	return rand.New(rand.NewPCG(w.seed, h))
}

func addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (w *world) addEngine(i int) error {
	e := fakeengine.New(fakeengine.Options{
		TokenDelay: tokenDelay, ChunkTokens: 4, MaxRunning: 8, Version: 1,
		LoadTime: time.Second, ChecksEpoch: i%2 == 0, MarkVersion: true,
	})
	name := fmt.Sprintf("%s-%d", engineHost, i)
	b := &backend{host: name, Endpoint: e.Endpoint, engine: e}
	b.object = config.Endpoint{
		Meta:        config.Meta{Name: name, Labels: map[string]string{"app": taggerService}},
		DataCentre:  dataCentres[i%len(dataCentres)],
		Addr:        addr(enginePort + i),
		ChecksEpoch: i%2 == 0,
	}
	return w.serveBackend(b, e.Handler())
}

func (w *world) addService(i int) error {
	s := fakeendpoint.NewService(50 * time.Millisecond)
	name := fmt.Sprintf("%s-%d", serviceHost, i)
	b := &backend{host: name, Endpoint: s.Endpoint}
	b.object = config.Endpoint{
		Meta:       config.Meta{Name: name, Labels: map[string]string{"app": clipService}},
		DataCentre: dataCentres[i%len(dataCentres)],
		Addr:       addr(servicePort + i),
	}
	return w.serveBackend(b, s.Handler())
}

func (w *world) serveBackend(b *backend, h http.Handler) error {
	server, err := fakeendpoint.ServeOn(w.net.Host(b.host).Listen, b.object.Addr, b.Endpoint, h)
	if err != nil {
		return err
	}
	b.server = server
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends = append(w.backends, b)
	w.closers = append(w.closers, server.Close)
	return nil
}

// launch starts an endpoint that the platform was ordered to run.
func (w *world) launch(r infra.RunningEndpoint) (string, func(), error) {
	w.mu.Lock()
	w.serial++
	at := addr(orderedPort + w.serial)
	w.mu.Unlock()
	e := fakeengine.New(fakeengine.Options{TokenDelay: tokenDelay, ChunkTokens: 4, MaxRunning: 8, Version: 1, LoadTime: time.Second})
	b := &backend{host: r.Name, Endpoint: e.Endpoint, engine: e}
	b.object.Addr = at
	if err := w.serveBackend(b, e.Handler()); err != nil {
		return "", nil, err
	}
	return at, b.Crash, nil
}

// startInstance starts a fresh instance and puts it on the platform's list.
func (w *world) startInstance(dataCentre string) *instance {
	w.mu.Lock()
	w.serial++
	n := w.serial
	w.mu.Unlock()
	name := fmt.Sprintf("i%d", n)
	set := settings.Default()
	set.Name = name
	set.DataCentre = dataCentre
	set.Platform.URL = "http://" + platformAddr
	set.Listen = settings.Listen{
		Callers:   addr(instancePort + 3*n),
		Peers:     addr(instancePort + 3*n + 1),
		Operators: addr(instancePort + 3*n + 2),
	}
	set.Limits.RequestTime = config.Duration(requestTime)
	set.Timing.UsageWindow = config.Duration(usageWindow)
	set.Timing.EntriesKeep = config.Duration(entriesKeep)
	set.Timing.FirstByte = config.Duration(5 * time.Second)
	set.Timing.Idle = config.Duration(3 * time.Second)
	in := w.runInstance(name, set)
	w.platform.SetInstance(infra.Instance{
		Name: name, DataCentre: dataCentre, State: infra.InstanceLive,
		PeerAddr: set.Listen.Peers, CallerAddr: set.Listen.Callers,
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances = append(w.instances, in)
	return in
}

func (w *world) runInstance(name string, set settings.Settings) *instance {
	host := w.net.Host(name)
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{
		name: name, set: set, cancel: cancel, done: make(chan struct{}),
		clock:  &bootClock{start: time.Now()},
		client: &http.Transport{DialContext: dialWithin(host.Dial), IdleConnTimeout: time.Minute},
	}
	in.daemon = daemon.New(daemon.Deps{
		Settings: set,
		Platform: httpapi.New(set.Platform.URL, &http.Client{Transport: in.client}, ""),
		Clock:    in.clock,
		Log:      w.log.With("instance", name),
		Scope:    tally.NoopScope,
		Metrics:  http.NotFoundHandler(),
		Listen:   host.Listen,
		Dial:     host.Dial,
	})
	go func() {
		defer close(in.done)
		if err := in.daemon.Run(ctx); err != nil {
			w.log.Error("instance ended", "instance", name, "error", err)
		}
		in.client.CloseIdleConnections()
	}()
	return in
}

// live returns the running instances that are not leaving.
func (w *world) live() []*instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*instance
	for _, in := range w.instances {
		if !in.leaving.Load() {
			list = append(list, in)
		}
	}
	return list
}

// remove takes an instance out of the list, so that nobody starts a request
// there.
func (w *world) remove(in *instance) {
	in.leaving.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range w.instances {
		if o == in {
			w.instances = append(w.instances[:i:i], w.instances[i+1:]...)
			return
		}
	}
}

// kill ends an instance as a crash does. Its goroutines end later, cut off
// from everything.
func (w *world) kill(in *instance) {
	w.remove(in)
	w.net.Kill(in.name)
	w.platform.RemoveInstance(in.name)
	in.cancel()
}

// backendsOf returns the configured stand-ins with an engine or without one.
func (w *world) backendsOf(engines bool) []*backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*backend
	for _, b := range w.backends {
		if (b.engine != nil) == engines && b.object.Name != "" {
			list = append(list, b)
		}
	}
	return list
}

func (w *world) allBackends() []*backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*backend(nil), w.backends...)
}

// operator returns a client for an instance's operators' interface.
func (w *world) operator(in *instance, name string, client *http.Client) *api.Client {
	return &api.Client{BaseURL: "http://" + in.set.Listen.Operators, Operator: name, HTTP: client}
}

// client returns an HTTP client outside the system. It never sends a request
// twice by itself, since every request gets a connection of its own.
func (w *world) client() *http.Client {
	t := &http.Transport{DialContext: dialWithin(w.net.Host(clientHost).Dial), DisableKeepAlives: true}
	return &http.Client{Transport: t}
}

// close ends everything and waits for it.
func (w *world) close() {
	w.mu.Lock()
	instances := append([]*instance(nil), w.instances...)
	closers := w.closers
	w.mu.Unlock()
	for _, in := range instances {
		w.kill(in)
	}
	for _, c := range closers {
		c()
	}
}
