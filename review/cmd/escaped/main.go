// Command escaped plays a case of the review: the items of a batch submission have
// paths with an escaped character and with a query. It exits with 1 if a replica gets
// another path or query, with 0 if not, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"time"

	"github.com/cumincove/cumincove/review/standin"
)

const (
	items      = 6
	resultTime = 20 * time.Second
)

func main() {
	o := standin.Options{Engines: 3, Apps: 1, Events: func(string) int { return 10 }, EventTime: 50 * time.Millisecond}
	standin.Main(o, play)
}

func play(d *standin.Deployment) (broken bool, err error) {
	b := standin.NewBatch(0, items)
	sent := map[string]string{}
	for i := range b.Items {
		if d.Trouble {
			b.Items[i].Path += []string{"%20b", "?take=2"}[i%2]
		}
		sent[b.Items[i].ID] = b.Items[i].Path
	}
	if err := d.Trainer.Submit(d.Addrs, standin.PathTrain+"0", standin.BatchID(0), b, 4*time.Second); err != nil {
		return false, err
	}
	for until := time.Now().Add(resultTime); len(d.Listed(0)) < items && time.Now().Before(until); {
		time.Sleep(300 * time.Millisecond)
	}
	ran := 0
	for _, r := range d.Runs.All() {
		path, ok := sent[r.ID]
		if !ok {
			continue
		}
		ran++
		if r.Path != path {
			broken = true
			text := fmt.Sprintf("item %s: path %s was sent, the replica got %s", r.ID, path, r.Path)
			d.Record.Add("%s", text)
			fmt.Println(text)
		}
	}
	if ran == 0 {
		return false, fmt.Errorf("no item ran")
	}
	return broken, nil
}
