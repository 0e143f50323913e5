// Command moved plays a case of the review: while a batch submission runs, the operator
// moves its route to another service with sound replicas, and then the replicas of the
// former service are emptied and taken away. It exits with 1 if items are left at no
// replica until their trainer's time is up, with 0 if they are not, and with 2 if the
// case couldn't run.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/cumincove/cumincove/review/standin"
)

const (
	engines, spares = 1, 7
	items           = 8

	// The text of an item has events at most the sheet's pause apart. One item is
	// short, so that the step has a result early.
	events      = 180
	shortEvents = 20
	eventTime   = 100 * time.Millisecond

	beginTime = 3 * time.Second
	// applyTime is config-apply-ms, and serveTime is how long a draining replica goes
	// on: drain-ms and a little longer.
	applyTime = 2 * time.Second
	serveTime = 3 * time.Second

	// budget is how long the trainer waits. The rule asks for idleTime of steady state.
	budget   = 45 * time.Second
	idleTime = 5 * time.Second
)

func main() {
	o := standin.Options{Engines: engines, Spares: spares, Apps: 1, Events: textLength, EventTime: eventTime}
	standin.Main(o, play)
}

// textLength returns the number of events of an item's text.
func textLength(id string) int {
	if id == standin.ItemID(0, 0) {
		return shortEvents
	}
	return events
}

func play(d *standin.Deployment) (broken bool, err error) {
	if err := d.Trainer.Submit(d.Addrs, standin.PathTrain+"0", standin.BatchID(0), standin.NewBatch(0, items), 4*time.Second); err != nil {
		return false, err
	}
	accepted := time.Now()
	time.Sleep(beginTime)
	if d.Trouble {
		d.SetConfig(standin.Config{Version: 9, Rollouts: "lm2"})
		time.Sleep(applyTime)
		var wg sync.WaitGroup
		for _, r := range d.Engines[:engines] {
			wg.Go(func() { r.Leave(d.Store, serveTime) })
		}
		wg.Wait()
	}
	listed := len(d.Listed(0))
	for listed < items && time.Since(accepted) < budget {
		time.Sleep(500 * time.Millisecond)
		listed = len(d.Listed(0))
	}
	if listed == items {
		fmt.Println("held: all results were listed")
		return false, nil
	}
	busy := 0
	for _, r := range d.Engines {
		busy += r.Busy()
	}
	left := d.Idle(0, items, idleTime)
	text := fmt.Sprintf("%d of %d results as the time is up; at no replica: %v; %d of the %d slots of the route's service in use",
		listed, items, left, busy, spares*standin.Slots)
	d.Record.Add("%s", text)
	fmt.Println(text)
	return len(left) > 0 && busy*2 < spares*standin.Slots, nil
}
