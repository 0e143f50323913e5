package view

import "github.com/cumincove/cumincove/fit"

// Eligible returns, ordered by name, the instances that are eligible for work
// that any instance could do. Instances that are leaving are not eligible.
func (v *View) Eligible() []Member {
	var list []fit.Instance
	for _, m := range v.Members {
		if !m.Leaving {
			list = append(list, fit.Instance{Name: m.Name, DataCentre: m.DataCentre, Size: m.Size, InFlight: m.InFlight})
		}
	}
	var members []Member
	for _, in := range fit.Choose(list) {
		members = append(members, v.Members[in.Name])
	}
	return members
}
