package steps

import (
	"context"
	"errors"
	"io"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
)

// loadedStep is a step that was read from its rows.
type loadedStep struct {
	step    *durable.Step
	results []durable.Result
	// savedVersions contains the versions of the rows of unfinished samples, by
	// sample ID.
	savedVersions map[string]uint64
}

// stepLoad reads a step from its rows. Samples and results never change, so what was
// read stays valid after an error, and the next call of run continues there.
type stepLoad struct {
	table   infra.Table
	head    head
	spec    *sampleReader
	samples []durable.Sample
	// complete is set once all samples were read.
	complete bool
	results  []durable.Result
}

func newStepLoad(t infra.Table, h head) *stepLoad {
	return &stepLoad{table: t, head: h, spec: newSampleReader(t, h)}
}

// run reads the rest of the step. No other instance writes to the step at the same
// time. The reported sample state is newer than the samples' rows and takes
// precedence.
func (l *stepLoad) run(ctx context.Context, reported []durable.Saved) (loadedStep, error) {
	ctx = infra.WithClass(ctx, infra.ClassCaller)
	if err := l.readSamples(ctx); err != nil {
		return loadedStep{}, err
	}
	if err := l.readResults(ctx); err != nil {
		return loadedStep{}, err
	}
	saved, versions, err := readSaved(ctx, l.table)
	if err != nil {
		return loadedStep{}, err
	}
	spec := l.head.Spec
	spec.Samples = l.samples
	return loadedStep{durable.New(spec, l.results, append(reported, saved...)), l.results, versions}, nil
}

func (l *stepLoad) readSamples(ctx context.Context) error {
	for !l.complete {
		list, err := l.spec.next(ctx)
		switch {
		case errors.Is(err, io.EOF):
			l.complete = true
		case errors.Is(err, errCorrupt) || errors.Is(err, errIncomplete):
			l.samples, l.spec = nil, newSampleReader(l.table, l.head) // read them again
			return err
		case err != nil:
			return err
		}
		l.samples = append(l.samples, list...)
	}
	return nil
}

func (l *stepLoad) readResults(ctx context.Context) error {
	for {
		list, err := readResults(ctx, l.table, len(l.results))
		if err != nil || len(list) == 0 {
			return err
		}
		l.results = append(l.results, list...)
	}
}

// loadOf returns the load of a step that this instance owns: the one that an earlier
// claim began, or a new one. The caller must have locked the step.
func (c *Controller) loadOf(id string, t infra.Table, h head) *stepLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loads[id]
	if l == nil || l.head.Tag != h.Tag {
		l = newStepLoad(t, h)
		c.loads[id] = l
	}
	return l
}
