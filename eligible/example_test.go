package eligible_test

import (
	"fmt"

	"github.com/cumincove/cumincove/eligible"
)

// In a data centre with large and small instances the large ones are chosen.
func ExampleChoose() {
	list := []eligible.Instance{
		{Name: "a", DataCentre: "x", Size: 0.8},
		{Name: "b", DataCentre: "x", Size: 0.8},
		{Name: "c", DataCentre: "x", Size: 0.2},
		{Name: "d", DataCentre: "x", Size: 0.8},
		{Name: "e", DataCentre: "x", Size: 0.2},
	}
	for _, in := range eligible.Choose(list) {
		fmt.Println(in.Name)
	}
	// Output:
	// a
	// b
	// d
}
