// Command silent plays a case of the review: an instance gets SIGTERM while it passes on
// a stream whose replica has preempted the request and goes on with it some seconds
// later. It exits with 1 if the instance ends the stream, with 0 if the stream comes
// whole, and with 2 if the case couldn't run.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cumincove/cumincove/review/standin"
)

const (
	events     = 20
	eventTime  = 50 * time.Millisecond
	pauseAfter = 10
	pauseTime  = 5500 * time.Millisecond

	// budget is the client's time. It leaves a stream after a gap of four times the
	// route's slo-ms, 8 s.
	budget = 15 * time.Second
	// termAfter is the time from the last event before the pause to the SIGTERM.
	termAfter = 300 * time.Millisecond
	// graceTime is grace-s. An answer at which the replica is still at work in its last
	// sixth isn't counted.
	graceTime = 8 * time.Second
)

func main() {
	o := standin.Options{Engines: 2, Apps: 1, Events: func(string) int { return events }, EventTime: eventTime}
	standin.Main(o, play)
}

func play(d *standin.Deployment) (broken bool, err error) {
	if d.Trouble {
		for _, r := range d.Engines {
			r.PauseAfter, r.PauseTime = pauseAfter, pauseTime
		}
	}
	in := d.Instances[0]
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	resp, err := open(ctx, d, in)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	got, terminated := 0, time.Time{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "id: ") {
			continue
		}
		got++
		if got == pauseAfter && d.Trouble {
			time.AfterFunc(termAfter, func() { _ = in.Signal(syscall.SIGTERM) })
			terminated = time.Now().Add(termAfter)
			d.Record.Add("trouble: %s gets SIGTERM in %v", in.Name, termAfter)
		}
	}
	text := fmt.Sprintf("the client got %d of %d events, end of the stream: %v", got, events, lines.Err())
	if !terminated.IsZero() {
		text += fmt.Sprintf(", %.1f s after SIGTERM", time.Since(terminated).Seconds())
	}
	d.Record.Add("%s", text)
	fmt.Println(text)
	whole := got == events && lines.Err() == nil
	return !whole && d.Trouble && time.Since(terminated) < graceTime*5/6, nil
}

// open opens a stream at an instance.
func open(ctx context.Context, d *standin.Deployment, in *standin.Instance) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.Callers+standin.PathStream+"1", strings.NewReader("prompt"))
	if err != nil {
		return nil, err
	}
	r.Host = standin.Host
	r.Header.Set("Authorization", "Bearer "+standin.Key)
	r.Header.Set(standin.HeaderAttempt, "57e40000000000a1")
	r.Header.Set("Cumincove-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	r.Header.Set("Cumincove-Model", standin.Model)
	r.Header.Set("Cumincove-Token-Count", "255,20")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	d.Record.Add("client opens a stream at %s: status %d", in.Name, resp.StatusCode)
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return resp, nil
}
