// Package fakeplatform implements an in-memory fake of the platform for tests
// and examples: the transactional table, the object store, the lagging list of
// instances, endpoint orders and usage reports.
//
// Platform.Platform returns the interfaces for use in the same process.
// Platform.Handler serves them over HTTP for package httpapi, together with
// control paths for tests that run separate processes:
//
//	PUT  /control/faults     Faults
//	GET  /control/record     Record
//	GET  /control/row?key=K  infra.Row, unaffected by faults
//	POST /control/instances  infra.Instance
//	POST /control/reclaim    infra.RunningEndpoint: reclaims its tier in its data
//	                         centre after ReclaimIn
//
// Both share the data, the faults and the counts. The fake uses package time, so
// that a testing/synctest bubble controls its clock.
package fakeplatform

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/infra/httpapi"
	"github.com/cumincove/cumincove/internal/fake/fakehttp"
)

// Options configures the fake platform.
type Options struct {
	// Instances is the initial list of instances.
	Instances []infra.Instance
	// StartDelay is the time from an order until the endpoint is running.
	StartDelay time.Duration
	// StopNotice is the time from an order for fewer endpoints until the
	// surplus ones stop. Until then they are in the state "reclaiming".
	StopNotice time.Duration
	// CheckEpochs makes the platform refuse orders with an old epoch.
	CheckEpochs bool
	// Launch starts an ordered endpoint and returns its address and a function
	// that stops it. If Launch is nil, nothing listens at the endpoint's
	// address.
	Launch func(e infra.RunningEndpoint) (addr string, stop func(), err error)
}

// Faults configures the faults to inject. The zero value injects none.
type Faults struct {
	// Down makes every call fail with infra.ErrUnavailable.
	Down bool `json:"down"`
	// TableDown makes the calls of the table fail with infra.ErrUnavailable.
	TableDown bool `json:"table_down"`
	// Slow delays every call before its effect.
	Slow time.Duration `json:"slow"`
	// SlowResponse delays every response after the effect.
	SlowResponse time.Duration `json:"slow_answer"`
	// LoseRequests is the number of future writes that are lost before they
	// have an effect. LoseResponses is the number of future writes that have
	// their effect, but whose response is lost. A negative number means all.
	// The caller can't distinguish the two faults.
	LoseRequests  int `json:"lose_requests"`
	LoseResponses int `json:"lose_answers"`
	// ListLag is the age of the list of instances that is returned.
	ListLag time.Duration `json:"list_lag"`
}

// OrderRecord is an order as it was received.
type OrderRecord struct {
	infra.EndpointOrder
	Refused bool `json:"refused"`
}

// Record contains what the fake platform received, for test oracles.
type Record struct {
	Orders  []OrderRecord       `json:"orders"`
	Reports []infra.UsageReport `json:"reports"`
	Reads   uint64              `json:"reads"`
	Writes  uint64              `json:"writes"`
}

// listing is the list of instances as of the time since, until the next listing.
type listing struct {
	since     time.Time
	instances []infra.Instance
}

// Platform is the fake platform.
type Platform struct {
	opt Options

	mu        sync.Mutex
	faults    Faults
	record    Record
	rows      map[string]infra.Row
	objects   map[string][]byte
	listings  []listing // oldest first; never empty
	endpoints endpointSet
}

// New returns a fake platform with an empty table and object store.
func New(opt Options) *Platform {
	return &Platform{
		opt:       opt,
		rows:      map[string]infra.Row{},
		objects:   map[string][]byte{},
		listings:  []listing{{since: time.Now(), instances: slices.Clone(opt.Instances)}},
		endpoints: endpointSet{epochs: map[string]uint64{}, desired: map[pool]int{}, unavailable: map[pool]bool{}},
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Record returns what was received so far. Later entries are only appended to
// its lists.
func (p *Platform) Record() Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record
}

// SetInstance adds an instance to the list, or replaces the one with its name.
func (p *Platform) SetInstance(in infra.Instance) { p.changeList(in.Name, in) }

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(name string) { p.changeList(name) }

// changeList replaces the instance with the name by the replacements.
func (p *Platform) changeList(name string, replacements ...infra.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := slices.Clone(p.listings[len(p.listings)-1].instances)
	next = slices.DeleteFunc(next, func(in infra.Instance) bool { return in.Name == name })
	next = append(next, replacements...)
	slices.SortFunc(next, func(a, b infra.Instance) int { return cmp.Compare(a.Name, b.Name) })
	p.listings = append(p.listings, listing{since: time.Now(), instances: next})
}

// list returns the list of instances as of ListLag ago. The caller holds mu.
func (p *Platform) list() []infra.Instance {
	cutoff := time.Now().Add(-p.faults.ListLag)
	listed := p.listings[0]
	for _, l := range p.listings {
		if !l.since.After(cutoff) {
			listed = l
		}
	}
	return slices.Clone(listed.instances)
}

// Row returns a row without counting a read.
func (p *Platform) Row(key string) (infra.Row, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[key]
	return row, ok
}

// Rows returns the rows whose keys start with prefix, in key order, without
// counting a read.
func (p *Platform) Rows(prefix string) []infra.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rowsAfter(prefix, "", 0)
}

// rowsAfter returns up to limit rows; zero means all. The caller holds mu.
func (p *Platform) rowsAfter(prefix, after string, limit int) []infra.Row {
	var rows []infra.Row
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && (limit == 0 || len(rows) < limit) {
			rows = append(rows, p.rows[key])
		}
	}
	return rows
}

// commit executes all ops or none. Version checks apply to the rows as they
// were before the transaction. The caller holds mu.
func (p *Platform) commit(ops []infra.Op) error {
	for _, op := range ops {
		if op.IfVersion != nil && p.rows[op.Key].Version != *op.IfVersion {
			return infra.ErrConflict
		}
	}
	for _, op := range ops {
		if op.Kind == infra.OpDelete {
			delete(p.rows, op.Key)
		} else if op.Kind == infra.OpPut {
			version := p.rows[op.Key].Version + 1
			p.rows[op.Key] = infra.Row{Key: op.Key, Version: version, Value: slices.Clone(op.Value)}
		}
	}
	return nil
}

// Platform returns the interfaces for use in the same process.
func (p *Platform) Platform() infra.Platform {
	calls := inProcess{Platform: p}
	return infra.Platform{Table: table{inProcess{Platform: p, table: true}}, Objects: objects{calls}, Instances: calls, Endpoints: calls, Usage: calls}
}

// read runs f as a read, subject to the current faults. It holds mu during f.
func read[T any](ctx context.Context, p inProcess, f func() (T, error)) (T, error) {
	p.mu.Lock()
	p.record.Reads++
	faults := p.faults
	p.mu.Unlock()
	var none T
	if faults.Down || faults.TableDown && p.table {
		return none, infra.ErrUnavailable
	}
	if !fakehttp.Sleep(ctx, faults.Slow) {
		return none, fmt.Errorf("%w: %w", infra.ErrUnavailable, ctx.Err())
	}
	p.mu.Lock()
	result, err := f()
	p.mu.Unlock()
	if !fakehttp.Sleep(ctx, faults.SlowResponse) {
		return none, fmt.Errorf("%w: %w", infra.ErrUnavailable, ctx.Err())
	}
	return result, err
}

// write runs f as a write, subject to the current faults. It holds mu during f.
// Like a request that was sent over a network, a write continues after its caller
// has stopped waiting.
func (p inProcess) write(ctx context.Context, f func() error) error {
	if err := cmp.Or(infra.Guard(ctx), ctx.Err()); err != nil {
		return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	p.mu.Lock()
	p.record.Writes++
	faults := p.faults
	loseRequest := fakehttp.ConsumeFault(&p.faults.LoseRequests)
	loseResponse := !loseRequest && fakehttp.ConsumeFault(&p.faults.LoseResponses)
	p.mu.Unlock()
	if faults.Down || faults.TableDown && p.table {
		return infra.ErrUnavailable
	}
	if loseRequest {
		return infra.ErrUnknownOutcome
	}
	done := make(chan error, 1)
	go func() {
		time.Sleep(faults.Slow)
		p.mu.Lock()
		err := f()
		p.mu.Unlock()
		time.Sleep(faults.SlowResponse)
		done <- err
	}()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", infra.ErrUnknownOutcome, ctx.Err())
	case err := <-done:
		if loseResponse {
			return infra.ErrUnknownOutcome
		}
		return err
	}
}

// inProcess implements the interfaces to the list of instances, the endpoints
// and the usage reports for use in the same process. The types table and objects
// implement the other two.
type inProcess struct {
	*Platform
	table bool // the calls belong to the table: Faults.TableDown applies to them
}

func (p inProcess) List(ctx context.Context) ([]infra.Instance, error) {
	return read(ctx, p, func() ([]infra.Instance, error) { return p.list(), nil })
}

func (p inProcess) Order(ctx context.Context, o infra.EndpointOrder) error {
	return p.write(ctx, func() error { return p.order(o) })
}

func (p inProcess) Observe(ctx context.Context, dataCentre string) ([]infra.RunningEndpoint, error) {
	return read(ctx, p, func() ([]infra.RunningEndpoint, error) { return p.observe(dataCentre), nil })
}

func (p inProcess) Report(ctx context.Context, r infra.UsageReport) error {
	return p.write(ctx, func() error {
		p.record.Reports = append(p.record.Reports, r)
		return nil
	})
}

type table struct{ inProcess }

func (t table) Get(ctx context.Context, key string) (infra.Row, error) {
	return read(ctx, t.inProcess, func() (infra.Row, error) { return find(t.rows, key) })
}

func (t table) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	return read(ctx, t.inProcess, func() ([]infra.Row, error) { return t.rowsAfter(prefix, after, limit), nil })
}

func (t table) Commit(ctx context.Context, ops ...infra.Op) error {
	ops = slices.Clone(ops)
	return t.write(ctx, func() error { return t.commit(ops) })
}

type objects struct{ inProcess }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	return o.write(ctx, func() error {
		o.objects[name] = slices.Clone(data)
		return nil
	})
}

func (o objects) Delete(ctx context.Context, name string) error {
	return o.write(ctx, func() error {
		delete(o.objects, name)
		return nil
	})
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return read(ctx, o.inProcess, func() ([]byte, error) { return find(o.objects, name) })
}

func find[T any](all map[string]T, key string) (T, error) {
	found, ok := all[key]
	if !ok {
		return found, infra.ErrNotFound
	}
	return found, nil
}

// Handler returns a handler for the platform's HTTP interface and the control
// paths.
func (p *Platform) Handler() http.Handler {
	platform := p.Platform()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table/row", fakehttp.Handle(func(r *http.Request) (any, error) {
		return platform.Table.Get(r.Context(), r.FormValue("key"))
	}))
	mux.HandleFunc("GET /v1/table/rows", fakehttp.Handle(func(r *http.Request) (any, error) {
		limit, _ := strconv.Atoi(r.FormValue("limit"))
		rows, err := platform.Table.List(r.Context(), r.FormValue("prefix"), r.FormValue("after"), limit)
		return httpapi.Rows{Rows: rows}, err
	}))
	mux.HandleFunc("POST /v1/table/commit", fakehttp.HandleBody(func(r *http.Request, m httpapi.CommitRequest) (any, error) {
		return nil, platform.Table.Commit(r.Context(), m.Ops...)
	}))
	mux.HandleFunc("GET /v1/instances", fakehttp.Handle(func(r *http.Request) (any, error) {
		list, err := platform.Instances.List(r.Context())
		return httpapi.InstanceList{Instances: list}, err
	}))
	mux.HandleFunc("POST /v1/endpoints/orders", fakehttp.HandleBody(func(r *http.Request, o infra.EndpointOrder) (any, error) {
		return nil, platform.Endpoints.Order(r.Context(), o)
	}))
	mux.HandleFunc("GET /v1/endpoints", fakehttp.Handle(func(r *http.Request) (any, error) {
		list, err := platform.Endpoints.Observe(r.Context(), r.FormValue("data_centre"))
		return httpapi.EndpointList{Endpoints: list}, err
	}))
	mux.HandleFunc("POST /v1/usage", fakehttp.HandleBody(func(r *http.Request, u infra.UsageReport) (any, error) {
		return nil, platform.Usage.Report(r.Context(), u)
	}))
	handleObjects(mux, platform.Objects)
	fakehttp.HandleControl(mux, p.SetFaults, p.Record)
	mux.HandleFunc("GET /control/row", fakehttp.Handle(func(r *http.Request) (any, error) {
		row, _ := p.Row(r.FormValue("key"))
		return row, nil
	}))
	mux.HandleFunc("POST /control/instances", fakehttp.HandleBody(func(_ *http.Request, in infra.Instance) (any, error) {
		p.SetInstance(in)
		return nil, nil
	}))
	mux.HandleFunc("POST /control/reclaim", fakehttp.HandleBody(func(_ *http.Request, e infra.RunningEndpoint) (any, error) {
		p.Reclaim(e.DataCentre, e.Tier, e.ReclaimIn)
		return nil, nil
	}))
	return mux
}

func handleObjects(mux *http.ServeMux, store infra.Objects) {
	mux.HandleFunc("GET /v1/objects", func(w http.ResponseWriter, r *http.Request) {
		data, err := store.Get(r.Context(), r.FormValue("name"))
		if err != nil {
			fakehttp.WriteResponse(w, nil, err)
			return
		}
		_, _ = w.Write(data)
	})
	mux.HandleFunc("PUT /v1/objects", fakehttp.Handle(func(r *http.Request) (any, error) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		return nil, store.Put(r.Context(), r.FormValue("name"), data)
	}))
	mux.HandleFunc("DELETE /v1/objects", fakehttp.Handle(func(r *http.Request) (any, error) {
		return nil, store.Delete(r.Context(), r.FormValue("name"))
	}))
}
