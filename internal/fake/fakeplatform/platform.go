// Package fakeplatform stands in for the platform in tests and examples: the
// transactional table, the object store, the lagging list of instances, orders
// for endpoints and usage reports, in memory.
//
// Platform.Platform gives the interfaces for use within a process, and
// Platform.Handler the same over HTTP for package httpapi, with some paths more
// for the tests of separate processes:
//
//	PUT  /control/faults     Faults
//	GET  /control/record     Record
//	GET  /control/row?key=K  infra.Row, whatever the faults
//	POST /control/instances  infra.Instance
//	POST /control/reclaim    infra.RunningEndpoint: those like it go in ReclaimIn
//
// Both ways share the data, the faults and the counts. It works on the time of
// package time, so a testing/synctest bubble drives it.
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

// Options says how the stand-in behaves.
type Options struct {
	// Instances is the list of instances to begin with.
	Instances []infra.Instance
	// StartDelay is the time from an order to a running endpoint.
	StartDelay time.Duration
	// StopNotice is the time between an order for fewer endpoints and their
	// end; they are in the state "reclaiming" meanwhile.
	StopNotice time.Duration
	// CheckEpochs makes it refuse orders with an old fencing number.
	CheckEpochs bool
	// Launch starts an ordered endpoint and returns its address and how to
	// stop it. Nil gives it an address at which nothing listens.
	Launch func(e infra.RunningEndpoint) (addr string, stop func(), err error)
}

// Faults is what goes wrong now. The zero value is no fault.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// TableDown refuses the calls of the table.
	TableDown bool `json:"table_down"`
	// Slow delays every call before its effect.
	Slow time.Duration `json:"slow"`
	// SlowAnswer delays every answer after the effect.
	SlowAnswer time.Duration `json:"slow_answer"`
	// LoseRequests is the number of coming writes that are lost before their
	// effect, and LoseAnswers of those whose answer is lost after it; a
	// negative number means all. The caller can't tell the two apart.
	LoseRequests int `json:"lose_requests"`
	LoseAnswers  int `json:"lose_answers"`
	// ListLag is how far the list of instances is behind.
	ListLag time.Duration `json:"list_lag"`
}

// OrderRecord is one order as it arrived.
type OrderRecord struct {
	infra.EndpointOrder
	Refused bool `json:"refused"`
}

// Record is what the stand-in saw, for oracles.
type Record struct {
	Orders  []OrderRecord       `json:"orders"`
	Reports []infra.UsageReport `json:"reports"`
	Reads   uint64              `json:"reads"`
	Writes  uint64              `json:"writes"`
}

type listing struct {
	since     time.Time
	instances []infra.Instance
}

// Platform is the stand-in.
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

// New returns a stand-in with an empty table and store.
func New(opt Options) *Platform {
	return &Platform{
		opt:       opt,
		rows:      map[string]infra.Row{},
		objects:   map[string][]byte{},
		listings:  []listing{{since: time.Now(), instances: slices.Clone(opt.Instances)}},
		endpoints: endpointSet{epochs: map[string]uint64{}, want: map[pool]int{}, gone: map[pool]bool{}},
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Record returns what was seen so far; its lists only ever grow at their ends.
func (p *Platform) Record() Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record
}

// SetInstance adds or replaces an instance of the list.
func (p *Platform) SetInstance(in infra.Instance) { p.changeList(in.Name, in) }

// RemoveInstance takes an instance off the list.
func (p *Platform) RemoveInstance(name string) { p.changeList(name) }

// changeList replaces the instance of that name.
func (p *Platform) changeList(name string, others ...infra.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := slices.Clone(p.listings[len(p.listings)-1].instances)
	next = slices.DeleteFunc(next, func(in infra.Instance) bool { return in.Name == name })
	next = append(next, others...)
	slices.SortFunc(next, func(a, b infra.Instance) int { return cmp.Compare(a.Name, b.Name) })
	p.listings = append(p.listings, listing{since: time.Now(), instances: next})
}

// list needs mu.
func (p *Platform) list() []infra.Instance {
	cutoff := time.Now().Add(-p.faults.ListLag)
	seen := p.listings[0]
	for _, l := range p.listings {
		if !l.since.After(cutoff) {
			seen = l
		}
	}
	return slices.Clone(seen.instances)
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

// rowsAfter returns up to limit rows, zero means all; it needs mu.
func (p *Platform) rowsAfter(prefix, after string, limit int) []infra.Row {
	var rows []infra.Row
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && (limit == 0 || len(rows) < limit) {
			rows = append(rows, p.rows[key])
		}
	}
	return rows
}

// commit executes all ops or none; it needs mu. Checks see the rows before the
// transaction.
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

// Platform returns the interfaces for use within the process.
func (p *Platform) Platform() infra.Platform {
	l := local{Platform: p}
	return infra.Platform{Table: table{local{Platform: p, table: true}}, Objects: objects{l}, Instances: l, Endpoints: l, Usage: l}
}

// read runs f, which gets mu, as a read under the present faults.
func read[T any](ctx context.Context, p local, f func() (T, error)) (T, error) {
	p.mu.Lock()
	p.record.Reads++
	faults := p.faults
	p.mu.Unlock()
	var none T
	if faults.Down || faults.TableDown && p.table {
		return none, infra.ErrUnavailable
	}
	if !fakehttp.Pause(ctx, faults.Slow) {
		return none, fmt.Errorf("%w: %w", infra.ErrUnavailable, ctx.Err())
	}
	p.mu.Lock()
	answer, err := f()
	p.mu.Unlock()
	if !fakehttp.Pause(ctx, faults.SlowAnswer) {
		return none, fmt.Errorf("%w: %w", infra.ErrUnavailable, ctx.Err())
	}
	return answer, err
}

// write runs f, which gets mu, as a write under the present faults. Like a
// request on the wire, a write that was sent goes on when its caller stops
// waiting.
func (p local) write(ctx context.Context, f func() error) error {
	if err := cmp.Or(infra.Guard(ctx), ctx.Err()); err != nil {
		return fmt.Errorf("%w: %w", infra.ErrUnavailable, err)
	}
	p.mu.Lock()
	p.record.Writes++
	faults := p.faults
	loseRequest := fakehttp.Take(&p.faults.LoseRequests)
	loseAnswer := !loseRequest && fakehttp.Take(&p.faults.LoseAnswers)
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
		time.Sleep(faults.SlowAnswer)
		done <- err
	}()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", infra.ErrUnknownOutcome, ctx.Err())
	case err := <-done:
		if loseAnswer {
			return infra.ErrUnknownOutcome
		}
		return err
	}
}

type local struct {
	*Platform
	table bool // the calls are the table's
}

func (l local) List(ctx context.Context) ([]infra.Instance, error) {
	return read(ctx, l, func() ([]infra.Instance, error) { return l.list(), nil })
}

func (l local) Order(ctx context.Context, o infra.EndpointOrder) error {
	return l.write(ctx, func() error { return l.order(o) })
}

func (l local) Observe(ctx context.Context, dataCentre string) ([]infra.RunningEndpoint, error) {
	return read(ctx, l, func() ([]infra.RunningEndpoint, error) { return l.observe(dataCentre), nil })
}

func (l local) Report(ctx context.Context, r infra.UsageReport) error {
	return l.write(ctx, func() error {
		l.record.Reports = append(l.record.Reports, r)
		return nil
	})
}

type table struct{ local }

func (t table) Get(ctx context.Context, key string) (infra.Row, error) {
	return read(ctx, t.local, func() (infra.Row, error) { return find(t.rows, key) })
}

func (t table) List(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	return read(ctx, t.local, func() ([]infra.Row, error) { return t.rowsAfter(prefix, after, limit), nil })
}

func (t table) Commit(ctx context.Context, ops ...infra.Op) error {
	ops = slices.Clone(ops)
	return t.write(ctx, func() error { return t.commit(ops) })
}

type objects struct{ local }

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
	return read(ctx, o.local, func() ([]byte, error) { return find(o.objects, name) })
}

func find[T any](all map[string]T, key string) (T, error) {
	found, ok := all[key]
	if !ok {
		return found, infra.ErrNotFound
	}
	return found, nil
}

// Handler serves the platform's HTTP interface and the control paths.
func (p *Platform) Handler() http.Handler {
	l := p.Platform()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table/row", fakehttp.Handle(func(r *http.Request) (any, error) {
		return l.Table.Get(r.Context(), r.FormValue("key"))
	}))
	mux.HandleFunc("GET /v1/table/rows", fakehttp.Handle(func(r *http.Request) (any, error) {
		limit, _ := strconv.Atoi(r.FormValue("limit"))
		rows, err := l.Table.List(r.Context(), r.FormValue("prefix"), r.FormValue("after"), limit)
		return httpapi.Rows{Rows: rows}, err
	}))
	mux.HandleFunc("POST /v1/table/commit", fakehttp.HandleBody(func(r *http.Request, m httpapi.CommitRequest) (any, error) {
		return nil, l.Table.Commit(r.Context(), m.Ops...)
	}))
	mux.HandleFunc("GET /v1/instances", fakehttp.Handle(func(r *http.Request) (any, error) {
		list, err := l.Instances.List(r.Context())
		return httpapi.InstanceList{Instances: list}, err
	}))
	mux.HandleFunc("POST /v1/endpoints/orders", fakehttp.HandleBody(func(r *http.Request, o infra.EndpointOrder) (any, error) {
		return nil, l.Endpoints.Order(r.Context(), o)
	}))
	mux.HandleFunc("GET /v1/endpoints", fakehttp.Handle(func(r *http.Request) (any, error) {
		list, err := l.Endpoints.Observe(r.Context(), r.FormValue("data_centre"))
		return httpapi.EndpointList{Endpoints: list}, err
	}))
	mux.HandleFunc("POST /v1/usage", fakehttp.HandleBody(func(r *http.Request, u infra.UsageReport) (any, error) {
		return nil, l.Usage.Report(r.Context(), u)
	}))
	handleObjects(mux, l.Objects)
	fakehttp.Control(mux, p.SetFaults, p.Record)
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
			fakehttp.Answer(w, nil, err)
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
