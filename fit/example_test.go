package fit_test

import (
	"fmt"

	"github.com/cumincove/cumincove/fit"
)

// In a data centre with large and small instances the large ones are chosen.
func ExampleChoose() {
	list := []fit.Instance{
		{Name: "a", DataCentre: "x", Size: 0.8},
		{Name: "b", DataCentre: "x", Size: 0.8},
		{Name: "c", DataCentre: "x", Size: 0.2},
		{Name: "d", DataCentre: "x", Size: 0.8},
		{Name: "e", DataCentre: "x", Size: 0.2},
	}
	for _, in := range fit.Choose(list) {
		fmt.Println(in.Name)
	}
	// Output:
	// a
	// b
	// d
}
