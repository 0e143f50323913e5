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
	// engineHost is the prefix of the host names of engines.
	engineHost = "engine"
	// serviceHost is the prefix of the host names of plain services.
	serviceHost = "service"

	engineCount  = 4
	serviceCount = 2
	// enginePort and servicePort are the ports of the first engine and of the
	// first plain service.
	enginePort  = 9100
	servicePort = 9200
	// orderedPort is the base of the ports of ordered endpoints.
	orderedPort = 9300
	// instancePort is the base of the instances' ports. Each instance has three
	// consecutive ports: for callers, peers and operators.
	instancePort = 7000

	// tokenDelay is the time that an engine takes to generate a token.
	tokenDelay = 5 * time.Millisecond
	// startDelay is the time that an ordered endpoint takes to start.
	startDelay  = 2 * time.Second
	usageWindow = 20 * time.Second
	// entriesKeep is how long callers may use an instance's address after they
	// received it.
	entriesKeep = 5 * time.Second
	requestTime = 40 * time.Second
)

var dataCentres = []string{"dc-a", "dc-b", "dc-c"}

// environment is the system under test with the fake platform, endpoints and
// network that it uses.
type environment struct {
	seed     uint64
	net      *memnet.Network
	platform *fakeplatform.Platform
	oracle   *oracle

	mu        sync.Mutex
	instances []*instance
	endpoints []*testEndpoint
	// started is the number of instances and ordered endpoints started so far.
	started int
	faults  fakeplatform.Faults

	// contentCounter numbers the requests, so that each has unique content.
	contentCounter atomic.Uint64
	log            *slog.Logger
	closers        []func()
}

// testEndpoint is a fake endpoint with its configuration object. Endpoints that
// were ordered from the platform are not in the configuration; their object has
// no name.
type testEndpoint struct {
	host   string
	object config.Endpoint
	*fakeendpoint.Endpoint
	engine *fakeengine.Engine // nil for plain services
	server *fakeendpoint.Server
}

// instance is one running daemon.
type instance struct {
	name     string
	settings settings.Settings
	daemon   *daemon.Daemon
	clock    *bootClock
	client   *http.Transport
	cancel   context.CancelFunc
	done     chan struct{}
	// leaving is set from the start of a graceful stop.
	leaving atomic.Bool
	// version is the highest configuration version that the instance has
	// reported.
	version atomic.Uint64
}

// bootClock is the boot-time clock of an instance. While the instance is frozen,
// the clock stands still, because a suspended process cannot read it. After the
// freeze, it includes the frozen time.
type bootClock struct {
	start time.Time

	mu       sync.Mutex
	frozen   bool
	frozenAt time.Duration
}

// Now returns the time since the start of the instance.
func (c *bootClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen {
		return c.frozenAt
	}
	return time.Since(c.start)
}

// freeze stops the clock. It reports false if the clock is already stopped.
func (c *bootClock) freeze() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen {
		return false
	}
	c.frozen, c.frozenAt = true, time.Since(c.start)
	return true
}

// resume ends freeze.
func (c *bootClock) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen = false
}

func newEnvironment(seed uint64, instances int, logTo io.Writer) (*environment, error) {
	env := &environment{
		seed:   seed,
		net:    memnet.New(),
		oracle: &oracle{},
		log:    slog.New(slog.NewTextHandler(logTo, nil)),
	}
	env.platform = fakeplatform.New(fakeplatform.Options{StartDelay: startDelay, Launch: env.launch})
	l, err := env.net.Host(platformHost).Listen("tcp", platformAddr)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: env.platform.Handler()}
	go srv.Serve(l)
	env.closers = append(env.closers, func() { srv.Close() })
	for i := range engineCount {
		if err := env.addEngine(i); err != nil {
			return nil, err
		}
	}
	for i := range serviceCount {
		if err := env.addService(i); err != nil {
			return nil, err
		}
	}
	for i := range instances {
		env.startInstance(dataCentres[i%len(dataCentres)])
	}
	return env, nil
}

// random returns the random source of one actor. It depends only on the seed and
// the actor's name.
func (env *environment) random(actor string) *rand.Rand {
	h := env.seed
	for _, c := range actor {
		h = h*1099511628211 + uint64(c)
	}
	return rand.New(rand.NewPCG(env.seed, h))
}

func addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func (env *environment) addEngine(i int) error {
	e := fakeengine.New(fakeengine.Options{
		TokenDelay: tokenDelay, ChunkTokens: 4, MaxRunning: 8, Version: 1,
		LoadTime: time.Second, ChecksEpoch: i%2 == 0, MarkVersion: true,
	})
	name := fmt.Sprintf("%s-%d", engineHost, i)
	ep := &testEndpoint{host: name, Endpoint: e.Endpoint, engine: e}
	ep.object = config.Endpoint{
		Meta:        config.Meta{Name: name, Labels: map[string]string{"app": taggerService}},
		DataCentre:  dataCentres[i%len(dataCentres)],
		Addr:        addr(enginePort + i),
		ChecksEpoch: i%2 == 0,
	}
	return env.serveEndpoint(ep, e.Handler())
}

func (env *environment) addService(i int) error {
	s := fakeendpoint.NewService(50 * time.Millisecond)
	name := fmt.Sprintf("%s-%d", serviceHost, i)
	ep := &testEndpoint{host: name, Endpoint: s.Endpoint}
	ep.object = config.Endpoint{
		Meta:       config.Meta{Name: name, Labels: map[string]string{"app": clipService}},
		DataCentre: dataCentres[i%len(dataCentres)],
		Addr:       addr(servicePort + i),
	}
	return env.serveEndpoint(ep, s.Handler())
}

func (env *environment) serveEndpoint(ep *testEndpoint, h http.Handler) error {
	server, err := fakeendpoint.ServeOn(env.net.Host(ep.host).Listen, ep.object.Addr, ep.Endpoint, h)
	if err != nil {
		return err
	}
	ep.server = server
	env.mu.Lock()
	defer env.mu.Unlock()
	env.endpoints = append(env.endpoints, ep)
	env.closers = append(env.closers, server.Close)
	return nil
}

// launch starts an endpoint that was ordered from the platform.
func (env *environment) launch(r infra.RunningEndpoint) (string, func(), error) {
	env.mu.Lock()
	env.started++
	address := addr(orderedPort + env.started)
	env.mu.Unlock()
	e := fakeengine.New(fakeengine.Options{TokenDelay: tokenDelay, ChunkTokens: 4, MaxRunning: 8, Version: 1, LoadTime: time.Second})
	ep := &testEndpoint{host: r.Name, Endpoint: e.Endpoint, engine: e}
	ep.object.Addr = address
	if err := env.serveEndpoint(ep, e.Handler()); err != nil {
		return "", nil, err
	}
	return address, ep.Crash, nil
}

// startInstance starts a new instance and adds it to the platform's list.
func (env *environment) startInstance(dataCentre string) *instance {
	env.mu.Lock()
	env.started++
	n := env.started
	env.mu.Unlock()
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
	in := env.runInstance(name, set)
	env.platform.SetInstance(infra.Instance{
		Name: name, DataCentre: dataCentre, State: infra.InstanceLive,
		PeerAddr: set.Listen.Peers, CallerAddr: set.Listen.Callers,
	})
	env.mu.Lock()
	defer env.mu.Unlock()
	env.instances = append(env.instances, in)
	return in
}

func (env *environment) runInstance(name string, set settings.Settings) *instance {
	host := env.net.Host(name)
	ctx, cancel := context.WithCancel(context.Background())
	in := &instance{
		name: name, settings: set, cancel: cancel, done: make(chan struct{}),
		clock:  &bootClock{start: time.Now()},
		client: &http.Transport{DialContext: dialWithin(host.Dial), IdleConnTimeout: time.Minute},
	}
	in.daemon = daemon.New(daemon.Deps{
		Settings: set,
		Platform: httpapi.New(set.Platform.URL, &http.Client{Transport: in.client}, ""),
		Clock:    in.clock,
		Log:      env.log.With("instance", name),
		Scope:    tally.NoopScope,
		Metrics:  http.NotFoundHandler(),
		Listen:   host.Listen,
		Dial:     host.Dial,
	})
	go func() {
		defer close(in.done)
		if err := in.daemon.Run(ctx); err != nil {
			env.log.Error("instance ended", "instance", name, "error", err)
		}
		in.client.CloseIdleConnections()
	}()
	return in
}

// live returns the running instances that are not leaving.
func (env *environment) live() []*instance {
	env.mu.Lock()
	defer env.mu.Unlock()
	var list []*instance
	for _, in := range env.instances {
		if !in.leaving.Load() {
			list = append(list, in)
		}
	}
	return list
}

// remove removes an instance from the list, so that no actor starts a request
// there.
func (env *environment) remove(in *instance) {
	in.leaving.Store(true)
	env.mu.Lock()
	defer env.mu.Unlock()
	for i, o := range env.instances {
		if o == in {
			env.instances = append(env.instances[:i:i], env.instances[i+1:]...)
			return
		}
	}
}

// kill simulates the crash of an instance: it closes the instance's connections
// at once. The goroutines of the instance end later.
func (env *environment) kill(in *instance) {
	env.remove(in)
	env.net.Kill(in.name)
	env.platform.RemoveInstance(in.name)
	in.cancel()
}

// configuredEndpoints returns the engines or the plain services in the
// configuration.
func (env *environment) configuredEndpoints(engines bool) []*testEndpoint {
	env.mu.Lock()
	defer env.mu.Unlock()
	var list []*testEndpoint
	for _, ep := range env.endpoints {
		if (ep.engine != nil) == engines && ep.object.Name != "" {
			list = append(list, ep)
		}
	}
	return list
}

func (env *environment) allEndpoints() []*testEndpoint {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]*testEndpoint(nil), env.endpoints...)
}

// operator returns a client of an instance's operator interface.
func (env *environment) operator(in *instance, name string, client *http.Client) *api.Client {
	return &api.Client{BaseURL: "http://" + in.settings.Listen.Operators, Operator: name, HTTP: client}
}

// client returns an HTTP client outside the system. It opens a connection for each
// request, because http.Transport may repeat a request that fails on a reused
// connection.
func (env *environment) client() *http.Client {
	t := &http.Transport{DialContext: dialWithin(env.net.Host(clientHost).Dial), DisableKeepAlives: true}
	return &http.Client{Transport: t}
}

// close kills all instances and stops the fake endpoints and the fake platform.
func (env *environment) close() {
	env.mu.Lock()
	instances := append([]*instance(nil), env.instances...)
	closers := env.closers
	env.mu.Unlock()
	for _, in := range instances {
		env.kill(in)
	}
	for _, c := range closers {
		c()
	}
}
