package kit2

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// maxRun bounds a run, a little below the 120 s that a case may take.
const maxRun = 110 * time.Second

// Env is what a case runs in.
type Env struct {
	*Record
	Store    *Store
	Machines []*Machine
	// ItemText, if set, returns the text of an event of an item.
	ItemText func(item string) string
	// ItemEvents, if set, returns the number of events of an item.
	ItemEvents func(item string) int
	// Trouble is false if the case runs without its disturbance.
	Trouble bool

	dir, net string
	duties   string
	nextIP   int
}

// Main runs a case in the folder of its number and exits with its verdict.
func Main(folder string, run func(e *Env) (int, error)) {
	os.Exit(runCase(folder, run))
}

func runCase(folder string, run func(e *Env) (int, error)) int {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	e := &Env{Record: record, dir: dir, Trouble: os.Getenv("TROUBLE") != "0"}
	// A network of its own for each run, so that the fixed port of the template is free.
	e.net = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	defer e.end()
	type verdict struct {
		code int
		err  error
	}
	done := make(chan verdict, 1)
	go func() {
		code, err := e.start()
		if err == nil {
			code, err = run(e)
		}
		done <- verdict{code, err}
	}()
	v := verdict{NotRun, fmt.Errorf("not finished after %v", maxRun)}
	select {
	case v = <-done:
	case <-time.After(maxRun):
	}
	if v.err != nil {
		e.Printf("could not run: %v", v.err)
		fmt.Fprintln(os.Stderr, v.err)
		return NotRun
	}
	text := map[int]string{Held: "the rule held", Broken: "the rule was broken"}[v.code]
	e.Printf("verdict: %s (trouble: %v)", text, e.Trouble)
	fmt.Println(text)
	return v.code
}

func (e *Env) start() (code int, err error) {
	if e.Store, err = NewStore(e.IP()); err != nil {
		return NotRun, err
	}
	e.duties, err = StartDuties(e.IP())
	return NotRun, err
}

// IP returns a loopback address that was not used in this run.
func (e *Env) IP() string {
	e.nextIP++
	return fmt.Sprintf("%s.%d", e.net, e.nextIP)
}

// AddMachine adds a machine that reaches the store at an address. It does not start it.
func (e *Env) AddMachine(name, storeAddr string, memoryMB int) (*Machine, error) {
	m := &Machine{
		Name: name, IP: e.IP(), Zone: "mvd-a", MemoryMB: memoryMB, StoreAddr: storeAddr, DutiesAddr: e.duties, Dir: e.dir,
	}
	e.Machines = append(e.Machines, m)
	return m, m.Listen()
}

// Start starts all machines at once and waits until they know each other.
func (e *Env) Start() error {
	errs := make(chan error, len(e.Machines))
	for _, m := range e.Machines {
		go func() { errs <- m.Start() }()
	}
	for range e.Machines {
		if err := <-errs; err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// settleTime is the time in which instances learn of each other and of the replicas.
const settleTime = 4 * time.Second

// end ends all processes that the run started.
func (e *Env) end() {
	for _, m := range e.Machines {
		m.Kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", e.dir)
		return
	}
	_ = os.RemoveAll(e.dir)
}

// SmallDeployment starts three machines, some engines whose items have a number of events
// with a pause before each, and a replica of the plain service.
func (e *Env) SmallDeployment(engines int, runs *Runs, events int, pause time.Duration) error {
	for n := range engines {
		if _, err := e.AddEngine(fmt.Sprintf("i-engine%d", n+1), runs, events, pause); err != nil {
			return err
		}
	}
	if _, err := e.AddPlain("i-app1"); err != nil {
		return err
	}
	e.Store.Put("op", "config", Config(3, []Route{RolloutRoute(), ScoreRoute()}, Engines(), Plain()))
	for _, name := range []string{"frontend-mvd-a-1", "frontend-mvd-a-2", "frontend-mvd-a-3"} {
		if _, err := e.AddMachine(name, e.Store.Addr, siteMemoryMB); err != nil {
			return err
		}
	}
	return e.Start()
}

// siteMemoryMB is the memory of a machine of the site celeste-rollouts.
const siteMemoryMB = 314
