// Command foreign plays a case of the review: another writer's entry among the
// replicas' entries names no service, at the address of a program that belongs to none
// of the system's services. It exits with 1 if that program gets requests, with 0 if
// it doesn't, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cumincove/cumincove/review/standin"
)

const (
	requests = 600
	clients  = 10
	pause    = 20 * time.Millisecond
	// seenTime is the time until all instances have read the entry.
	seenTime = 3 * time.Second
	items    = 16

	foreignID = "x-other-writer"
	wait      = 2 * time.Second
)

func main() {
	o := standin.Options{Engines: 3, Apps: 2, Events: func(string) int { return 10 }, EventTime: 50 * time.Millisecond}
	standin.Main(o, play)
}

func play(d *standin.Deployment) (broken bool, err error) {
	if d.Trouble {
		if err := addForeign(d); err != nil {
			return false, err
		}
		time.Sleep(seenTime)
	}
	if err := d.Trainer.Submit(d.Addrs, standin.PathTrain+"0", standin.BatchID(0), standin.NewBatch(0, items), 4*time.Second); err != nil {
		return false, err
	}
	answered, foreign := send(d)
	ran := 0
	for _, r := range d.Runs.All() {
		if r.Replica == foreignID {
			ran++
		}
	}
	text := fmt.Sprintf("%d of %d requests answered, %d of them by the program of no service, which got %d requests", answered, requests, foreign, ran)
	d.Record.Add("%s", text)
	fmt.Println(text)
	if answered == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return ran > 0, nil
}

// send sends the requests of some clients. It returns how many were answered with
// status 200, and how many of these answers came from the foreign program.
func send(d *standin.Deployment) (answered, foreign int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for i := c; i < requests; i += clients {
				id := fmt.Sprintf("9c%014d", i)
				status, body := d.Trainer.Call(http.MethodPost, d.Addrs[i%len(d.Addrs)], standin.PathApp+id, id, []byte("look up"), wait)
				mu.Lock()
				if status == http.StatusOK {
					answered++
				}
				if string(body) == foreignAnswer(id) {
					foreign++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	return answered, foreign
}

func foreignAnswer(id string) string { return "answer of another program to " + id }

// addForeign starts the program and writes the entry that names no service.
func addForeign(d *standin.Deployment) error {
	r := &standin.Replica{ID: foreignID, Slots: standin.Slots, Answer: foreignAnswer, Record: d.Record, Runs: d.Runs}
	if err := r.Listen(standin.IP(60)); err != nil {
		return err
	}
	d.Store.Put("servers", foreignID, map[string]any{
		"service": "", "addr": r.Addr, "zone": "z-0", "version": "v1", "slots": standin.Slots, "state": "ready", "seq": 1,
	})
	d.Record.Add("trouble: another writer's entry servers/%s names no service", foreignID)
	return nil
}
