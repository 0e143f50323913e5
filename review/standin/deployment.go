package standin

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// Names in the deployment's configuration.
const (
	Host  = "rollouts.example"
	Key   = "k-3fexd9dnn2ctnfzs989a"
	Model = "m0"
	// PathTrain is the prefix of the rollout route and PathStream that of a streaming
	// route, whose engines are those of service "lm". PathApp is that of the idempotent
	// and public route of service "app".
	PathTrain  = "/train/"
	PathStream = "/stream/"
	PathApp    = "/app/"
)

// Slots is the number of slots of a replica.
const Slots = 8

const (
	instances = 3
	// readyTime bounds the start of the instances, and knowTime is the time until
	// they know each other.
	readyTime = 15 * time.Second
	knowTime  = 4 * time.Second
)

// Options describes a deployment.
type Options struct {
	// Engines and Spares are the numbers of engines of the services "lm" and "lm2",
	// and Apps is that of replicas of service "app".
	Engines, Spares, Apps int
	// Events returns the number of events of an item's text, and EventTime is the
	// time between two.
	Events    func(id string) int
	EventTime time.Duration
}

// Deployment is a small deployment with its platform.
type Deployment struct {
	Record    *Record
	Store     *Store
	Runs      *Runs
	Engines   []*Replica
	Instances []*Instance
	Trainer   Trainer
	// Addrs are the instances' addresses for clients.
	Addrs []string
	// Trouble is false if the case runs without the disruption.
	Trouble bool
}

// Main plays a case with a deployment, and ends the process with the exit code of
// the outcome: 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
// run. The program's arguments are the name of the record, and 0 for a run without the
// disruption or 1 for one with it.
func Main(o Options, play func(d *Deployment) (broken bool, err error)) {
	if len(os.Args) != 3 {
		fmt.Println("want: the name of the record, and 0 or 1")
		os.Exit(2)
	}
	broken, err := run(os.Args[1], os.Args[2] != "0", o, play)
	switch {
	case err != nil:
		fmt.Println("the case couldn't run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func run(record string, trouble bool, o Options, play func(d *Deployment) (bool, error)) (broken bool, err error) {
	rec, err := NewRecord(record)
	if err != nil {
		return false, err
	}
	d := &Deployment{
		Record: rec, Runs: &Runs{}, Trainer: Trainer{Host: Host, Key: Key, Record: rec},
		Trouble: trouble,
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(tmp)
	} else {
		fmt.Println("logs in", tmp)
	}
	defer d.stop()
	if err := d.start(tmp, o); err != nil {
		return false, err
	}
	return play(d)
}

func (d *Deployment) stop() {
	for _, in := range d.Instances {
		in.Kill()
	}
}

// IP returns a loopback address that only this process uses.
func IP(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250, last)
}

// start starts the platform, the replicas and the instances.
func (d *Deployment) start(tmp string, o Options) (err error) {
	if d.Store, err = NewStore(IP(1)); err != nil {
		return err
	}
	duties, err := StartDuties(IP(2))
	if err != nil {
		return err
	}
	for i := range o.Engines + o.Spares {
		r := &Replica{
			ID: fmt.Sprintf("i-engine-%d", i), Service: "lm", Slots: Slots, Model: Model,
			Events: o.Events, EventTime: o.EventTime, Record: d.Record, Runs: d.Runs,
		}
		if i >= o.Engines {
			r.Service = "lm2"
		}
		if err := r.Start(IP(10+i), fmt.Sprintf("z-%d", i%3), d.Store); err != nil {
			return err
		}
		d.Engines = append(d.Engines, r)
	}
	for i := range o.Apps {
		r := &Replica{ID: fmt.Sprintf("i-app-%d", i), Service: "app", Slots: Slots, WorkTime: 20 * time.Millisecond, Record: d.Record, Runs: d.Runs}
		if err := r.Start(IP(30+i), fmt.Sprintf("z-%d", i%3), d.Store); err != nil {
			return err
		}
	}
	d.SetConfig(Config{Version: 7, Rollouts: "lm"})
	for i := range instances {
		in, err := StartInstance(fmt.Sprintf("frontend-%d", i), fmt.Sprintf("z-%d", i), IP(40+i), Platform{Store: d.Store, Duties: duties, Dir: tmp})
		if err != nil {
			return err
		}
		d.Instances = append(d.Instances, in)
		d.Addrs = append(d.Addrs, in.Callers)
	}
	if err := WaitReady(d.Instances, readyTime); err != nil {
		return err
	}
	time.Sleep(knowTime)
	return nil
}

// Config is what differs between the configurations.
type Config struct {
	Version int
	// Rollouts is the service of the rollout route.
	Rollouts string
	// Public is set if the rollout route is public.
	Public bool
}

// SetConfig writes a configuration, as the operator does.
func (d *Deployment) SetConfig(c Config) {
	d.Store.Put("op", "config", c.wire())
	d.Record.Add("operator writes configuration %d: rollouts at service %s, public %v", c.Version, c.Rollouts, c.Public)
}

func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/healthz", "max-conns": 140, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": Slots, "kv-capacity": 100000, "models": []map[string]any{{"name": Model}}},
	}
}

func (c Config) wire() map[string]any {
	return map[string]any{
		"version": c.Version,
		"routes": []map[string]any{
			{
				"name": "r-rollout", "hostname": Host, "path-prefix": PathTrain, "route-kind": "rollout", "service": c.Rollouts,
				"timeout-ms": 10000, "slo-ms": 500, "priority": 0, "max-attempts": 3, "run-deadline-ms": 40000, "queue-ttl-s": 90, "public": c.Public,
			},
			{
				"name": "r-stream", "hostname": Host, "path-prefix": PathStream, "route-kind": "streaming", "service": "lm",
				"timeout-ms": 20000, "slo-ms": 2000, "priority": 1, "max-attempts": 1, "public": false,
			},
			{
				"name": "r-app", "hostname": Host, "path-prefix": PathApp, "route-kind": "idempotent", "service": "app",
				"timeout-ms": 3000, "slo-ms": 800, "priority": 2, "max-attempts": 4, "public": true,
			},
		},
		"services": []map[string]any{
			engineService("lm"),
			engineService("lm2"),
			{"name": "app", "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "coaches", "api-keys": []string{Key}, "priority": 1}},
	}
}

// BatchID returns the ID of a step.
func BatchID(step int) string { return fmt.Sprintf("5e%014d", step) }

// ItemID returns the ID of an item.
func ItemID(step, item int) string { return fmt.Sprintf("17%06d%08d", step, item) }

// NewBatch returns a batch submission whose items have a reward call each.
func NewBatch(step, items int) Batch {
	b := Batch{Step: step, Model: Model, MinVersion: 1, Desired: 1}
	for i := range items {
		b.Items = append(b.Items, Item{
			ID: ItemID(step, i), Path: fmt.Sprintf("%s%d/%d", PathTrain, step, i), Body: []byte("prompt"), Tokens: 500, Group: fmt.Sprintf("g%d", step),
			Headers: map[string]string{"Cumincove-Model": Model, "Cumincove-Token-Count": "255,180", "Cumincove-Prefix-Hash": "9c2e41:255"},
			Scorer:  &Scorer{ID: fmt.Sprintf("5c%06d%08d", step, i), Host: Host, Path: PathApp + "score", Body: []byte("score")},
		})
	}
	return b
}

// Listed returns the results of a step, as the instance that lists most of them does.
func (d *Deployment) Listed(step int) (most []Result) {
	for _, addr := range d.Addrs {
		if list := d.listedAt(addr, step); len(list) > len(most) {
			most = list
		}
	}
	return most
}

// listedAt reads the results of a step at an instance, from the first position on,
// until there are no further ones.
func (d *Deployment) listedAt(addr string, step int) (list []Result) {
	for {
		res, status := d.Trainer.Read(addr, BatchID(step), len(list))
		if status != http.StatusOK || len(res.Results) == 0 {
			return list
		}
		list = append(list, res.Results...)
	}
}

// Idle lists the items of a step that no replica finished and that were at no replica
// for the given time, up to now.
func (d *Deployment) Idle(step, items int, idle time.Duration) (ids []string) {
	for i := range items {
		finished, last := false, time.Time{}
		for _, r := range d.Runs.All() {
			if r.ID != ItemID(step, i) {
				continue
			}
			finished = finished || r.Complete
			switch {
			case r.To.IsZero():
				last = time.Now()
			case r.To.After(last):
				last = r.To
			}
		}
		if !finished && time.Since(last) > idle {
			ids = append(ids, fmt.Sprintf("%s since %.1f s", ItemID(step, i), time.Since(last).Seconds()))
		}
	}
	return ids
}
