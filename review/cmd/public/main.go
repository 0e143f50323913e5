// Command public plays a case of the review: a rollout route is public, and a trainer
// submits a batch submission to it with its tenant's key, and reads it with the same
// key. It exits with 1 if an instance says that there is no such batch submission, with
// 0 if none does, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cumincove/cumincove/review/standin"
)

const (
	items = 4
	// applyTime is config-apply-ms and a margin, and settleTime is settle-ms.
	applyTime  = 3 * time.Second
	settleTime = time.Second
	readTime   = 15 * time.Second
)

func main() {
	o := standin.Options{Engines: 3, Apps: 1, Events: func(string) int { return 10 }, EventTime: 50 * time.Millisecond}
	standin.Main(o, play)
}

func play(d *standin.Deployment) (broken bool, err error) {
	d.SetConfig(standin.Config{Version: 9, Rollouts: "lm", Public: d.Trouble})
	time.Sleep(applyTime)
	if err := d.Trainer.Submit(d.Addrs, standin.PathTrain+"0", standin.BatchID(0), standin.NewBatch(0, items), 4*time.Second); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	reads, unknown, listed := 0, 0, 0
	for until := time.Now().Add(readTime); listed < items && time.Now().Before(until); {
		for _, addr := range d.Addrs {
			res, status := d.Trainer.Read(addr, standin.BatchID(0), 0)
			reads++
			if status == http.StatusNotFound {
				unknown++
			}
			listed = max(listed, len(res.Results))
		}
		time.Sleep(500 * time.Millisecond)
	}
	ran := 0
	for _, r := range d.Runs.All() {
		if r.Complete {
			ran++
		}
	}
	text := fmt.Sprintf("%d of %d reads answered 404, %d of %d results listed; the replicas completed %d requests", unknown, reads, listed, items, ran)
	d.Record.Add("%s", text)
	fmt.Println(text)
	return unknown > 0, nil
}
