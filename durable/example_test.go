package durable_test

import (
	"fmt"

	"github.com/cumincove/cumincove/durable"
)

func Example() {
	spec := durable.Spec{ID: "step-7", MinVersion: 6, MaxFailures: 3, Samples: []durable.Sample{{ID: "a"}}}
	step := durable.New(spec, nil, nil)
	endpoints := []durable.Endpoint{{Name: "e1", Version: 5, FreeSlots: 8}, {Name: "e2", Version: 6, FreeSlots: 8}}

	start := step.Tick(0, endpoints)[0].(durable.Start)
	fmt.Println(start.Sample.ID, "at", start.Endpoint)
	_ = step.Event(start.Run, 1, "first", 6)
	step.Ended(0, start.Run, durable.Interrupted)

	resumed := step.Tick(1e9, endpoints)[0].(durable.Start)
	fmt.Println("goes on after event", resumed.After)
	_ = step.Event(resumed.Run, 2, "second", 7)
	step.Ended(1e9, resumed.Run, durable.Completed)

	batch := step.Batch()
	fmt.Printf("position %d: %q %v\n", batch.Position, batch.Results[0].Text, batch.Results[0].Versions)
	step.MarkStored()
	fmt.Println(step.Done())
	// Output:
	// a at e2
	// goes on after event 1
	// position 0: "first\nsecond" [6 7]
	// true
}
