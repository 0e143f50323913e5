// Command 7 submits a step with one large item, kills the machine that runs the step,
// and looks where its items are.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/review/kit2"
)

const (
	step = "7c41e09b52d6a3f8"
	// largeBody is the body of the large item. The whole submission is about a quarter
	// of max-body-bytes (33,554,432).
	largeBody  = 6 << 20
	smallItems = 4
	// events times eventPause is the time that an item needs.
	events     = 20
	eventPause = 150 * time.Millisecond
	// timeUp is queue-ttl-s: until then no item may be given up.
	timeUp = 40 * time.Second
)

func main() { kit2.Main("review/7", run) }

func run(e *kit2.Env) (int, error) {
	runs := kit2.NewRuns()
	if err := e.SmallDeployment(2, runs, events, eventPause); err != nil {
		return kit2.NotRun, err
	}
	// A machine that does not run the model's steps itself would hand the step over at
	// once. So the step goes to the machine that runs them.
	m, err := e.RunnerOfSteps()
	if err != nil {
		return kit2.NotRun, err
	}
	items := []kit2.Item{kit2.NewItem("e5b2907c14da6f00", "g1", make([]byte, largeBody))}
	for n := range smallItems {
		items = append(items, kit2.NewItem(fmt.Sprintf("e5b2907c14da6f%02d", n+1), "g1", []byte("prompt")))
	}
	submitted := time.Now()
	a := kit2.Submit(m.Front, step, kit2.Submission{Model: kit2.Model, MinVersion: 1, Desired: 1, Requests: items})
	e.Printf("submission of %d items, one with %d bytes, at %s: %d", len(items), largeBody, m.Name, a.Status)
	if a.Status != http.StatusAccepted {
		return kit2.NotRun, fmt.Errorf("the submission was answered %d: %s", a.Status, a.Body)
	}
	for runs.Of(items[0].ID).Started == 0 || runs.Of(items[1].ID).Started == 0 {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(4 * eventPause)
	if e.Trouble {
		if err := e.KillOwner(step); err != nil {
			return kit2.NotRun, err
		}
	}
	t := kit2.Trainer{Env: e, Step: step, Items: items, Runs: runs}
	t.Follow(submitted.Add(timeUp))
	if t.Lost(true) > 0 {
		return kit2.Broken, nil
	}
	return kit2.Held, nil
}
