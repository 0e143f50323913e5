package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/engine"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeengine"
	"github.com/cumincove/cumincove/label"
)

const (
	readers      = 16
	streamTokens = 200
	tokenDelay   = 5 * time.Millisecond
	downTime     = 200 * time.Millisecond
	tokenSeed    = 9
	crashSeed    = 20261204
)

// resumption prints a row for each combination of crash interval and service.
func resumption(table *tabwriter.Writer, intervals []time.Duration, streams int) error {
	fmt.Fprintln(table, "crash every\tservice\tcomplete %\twrong")
	for _, every := range intervals {
		for _, service := range []string{"abort", "resume"} {
			complete, wrong, err := countStreams(service, every, streams)
			if err != nil {
				return err
			}
			fmt.Fprintf(table, "%v\t%s\t%.1f\t%d\n", every, service, 100*float64(complete)/float64(streams), wrong)
			if wrong > 0 {
				return fmt.Errorf("%d streams had wrong tokens", wrong)
			}
		}
	}
	return nil
}

// countStreams returns the number of streams that were complete and the number
// that had wrong tokens. It starts a new system, so that no retry budget is used
// up at the start.
func countStreams(service string, every time.Duration, streams int) (complete, wrong int64, err error) {
	sys, err := startSystem()
	if err != nil {
		return 0, 0, err
	}
	defer sys.Close()
	engines, err := addEngines(sys)
	if err != nil {
		return 0, 0, err
	}
	stop := make(chan struct{})
	var crashes sync.WaitGroup
	crashes.Go(func() { crashPeriodically(engines, every, stop) })
	var completeCount, wrongCount atomic.Int64
	daemontest.ForEachConcurrently(readers, streams, func(k, i int) {
		prompt := fmt.Sprintf("%v %s %d", every, service, i)
		got, finished, sequenceErr := readStream(sys.Instances[k%2], service, prompt, streamTokens)
		if finished {
			completeCount.Add(1)
		}
		want := fakeengine.Tokens(prompt, tokenSeed, streamTokens)
		if sequenceErr != nil || len(got) > len(want) || !slices.Equal(got, want[:len(got)]) || finished && len(got) != len(want) {
			wrongCount.Add(1)
		}
	})
	close(stop)
	crashes.Wait()
	return completeCount.Load(), wrongCount.Load(), nil
}

// readStream requests a stream through an instance and reads it to its end. The
// error reports a token that did not follow the previous one.
func readStream(in *daemontest.Instance, service, prompt string, tokens int) (got []int32, complete bool, err error) {
	q := engine.GenerateRequest{Prompt: prompt, MaxTokens: tokens, Seed: tokenSeed}
	return in.Stream(service, callerKey, q, func(int) {})
}

// addEngines adds four engines and two services that use them: "resume", whose
// streams continue at another engine after a crash, and "abort", whose streams
// end.
func addEngines(sys *daemontest.System) (list []*daemontest.Endpoint, err error) {
	sel := label.MustParse("app=resume")
	put := config.Objects{Services: []config.Service{
		{Meta: config.Meta{Name: "resume"}, Type: config.ServiceEngine, Endpoints: sel, Resume: config.ResumeSameVersion},
		{Meta: config.Meta{Name: "abort"}, Type: config.ServiceEngine, Endpoints: sel},
	}}
	for i := range 4 {
		e, endpoint, err := sys.AddEngine(fmt.Sprintf("resume-%d", i), "dc-a", map[string]string{"app": "resume"},
			fakeengine.Options{TokenDelay: tokenDelay, Version: 7})
		if err != nil {
			return nil, err
		}
		list, put.Endpoints = append(list, e), append(put.Endpoints, endpoint)
	}
	return list, apply(sys, put, func(in *daemontest.Instance) bool {
		_, complete, err := readStream(in, "abort", "warm up", 1)
		return complete && err == nil
	})
}

// crashPeriodically crashes a randomly chosen engine each time the interval
// every has passed, until stop is closed. The engine restarts after downTime.
func crashPeriodically(engines []*daemontest.Endpoint, every time.Duration, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(crashSeed, 1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		e := engines[rng.IntN(len(engines))]
		e.Crash()
		time.AfterFunc(downTime, e.Restart)
	}
}
