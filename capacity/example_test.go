package capacity_test

import (
	"fmt"

	"github.com/cumincove/cumincove/capacity"
)

// Callers need four endpoints. When one cheap data centre is lost, the other still
// has enough for them. Rollouts need endpoints in addition.
func Example() {
	pools := []capacity.Pool{
		{DataCentre: "a", Cheap: true, Max: 8, HourlyCost: 1},
		{DataCentre: "b", Cheap: true, Max: 8, HourlyCost: 1},
		{DataCentre: "a", Max: 8, HourlyCost: 3},
	}
	counts := capacity.Target(pools, capacity.Need{Interactive: 4, Rollout: 6})
	fmt.Println(counts, capacity.Cost(pools, counts))
	// Output: [5 5 0] 10
}
