package soak

import (
	"flag"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seed      = flag.Uint64("seed", 0, "seed of the run; 0 runs all fixed seeds")
	duration  = flag.Duration("duration", 4*time.Minute, "length of the run in fake time")
	instances = flag.Int("instances", 4, "number of instances")
	logs      = flag.Bool("logs", false, "print the logs of the run")
)

var fixedSeeds = []uint64{1, 2, 3}

func TestSoak(t *testing.T) {
	seeds := fixedSeeds
	if *seed != 0 {
		seeds = []uint64{*seed}
	}
	var log io.Writer
	if *logs {
		log = os.Stderr
	}
	for _, s := range seeds {
		synctest.Test(t, func(t *testing.T) {
			r, err := Run(t.Context(), Options{Seed: s, Duration: *duration, Instances: *instances, Log: log})
			if err != nil {
				t.Fatal(err)
			}
			t.Log("\n" + r.String())
			if err := r.Err(); err != nil {
				t.Error(err)
			}
		})
	}
}
