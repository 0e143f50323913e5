// Package load reads the engines' load reports into the snapshot. Each engine is
// asked by one instance of each data centre, which tells the others there.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/view"
)

// rounds is how many looks a period is made of, so that what others ask and
// tell is not waited for longer than needed.
const rounds = 2

// Options says what a Controller works with.
type Options struct {
	Views  *view.Store
	Clock  clock.Clock
	Client *http.Client
	// Self is this instance's name and DataCentre where it runs.
	Self       string
	DataCentre string
	// Poll is the period between two rounds of reports, and Timeout bounds the
	// wait for one.
	Poll    time.Duration
	Timeout time.Duration
}

// Controller polls the engines and rides on the exchanges between instances.
type Controller struct {
	o Options

	mu      sync.Mutex
	engines map[string]*state
	byHash  map[uint32]string // names; empty for several with one hash
}

// New returns a Controller.
func New(o Options) *Controller {
	return &Controller{o: o, engines: map[string]*state{}, byHash: map[uint32]string{}}
}

// Run polls until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		c.Sync(ctx)
		period := c.o.Poll / rounds
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(period*9/10 + rand.N(period/5+1)):
		}
	}
}

// Sync reads the reports of the engines whose turn it is, and publishes these
// and what others told. A report that can't be had leaves the last one in
// place; its age tells.
func (c *Controller) Sync(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range c.turn() {
		wg.Go(func() { c.ask(ctx, e) })
	}
	wg.Wait()
	reports := c.changed()
	if len(reports) > 0 {
		c.o.Views.Update(func(v *view.View) { v.SetLoad(reports) })
	}
}

// turn returns the engines to ask now.
func (c *Controller) turn() []*view.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	v := c.o.Views.Load()
	p := placeOf(v, c.o.Self, c.o.DataCentre)
	local, remote := c.look(now, v)
	return append(
		c.due(now, local, p, every(len(local), localRate, c.o.Poll), localAsks/rounds),
		c.due(now, remote, p, every(len(remote), remoteRate, c.o.Poll), remoteAsks/rounds)...)
}

func (c *Controller) ask(ctx context.Context, e *view.Endpoint) {
	at := c.o.Clock.Now()
	own := int(e.Stats.InFlight.Load())
	l, err := c.read(ctx, e.Addr)
	if err != nil {
		return
	}
	v := c.o.Views.Load()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.engines[e.Name]; s != nil && s.take(l, at, c.tells(v, s)) {
		s.note(at, own)
	}
}

// changed returns the reports that are new since the last call.
func (c *Controller) changed() map[string]view.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := map[string]view.LoadReport{}
	for name, s := range c.engines {
		if s.changed {
			s.changed = false
			reports[name] = view.LoadReport{Load: s.load, At: s.at, Own: s.ownAt(s.at)}
		}
	}
	return reports
}

// maxReport bounds a report, in bytes.
const maxReport = 1 << 20

func (c *Controller) read(ctx context.Context, addr string) (engine.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/load", nil)
	if err != nil {
		return engine.Load{}, err
	}
	resp, err := c.o.Client.Do(req)
	if err != nil {
		return engine.Load{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return engine.Load{}, fmt.Errorf("load report: status %d", resp.StatusCode)
	}
	var l engine.Load
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&l); err != nil {
		return engine.Load{}, fmt.Errorf("decode load report: %w", err)
	}
	return l, nil
}
