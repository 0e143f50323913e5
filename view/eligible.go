package view

import "github.com/cumincove/cumincove/eligible"

// Eligible returns, ordered by name, the instances that are eligible for work
// that any instance could do. Instances that are leaving are not eligible.
func (v *View) Eligible() []Member {
	var list []eligible.Instance
	for _, m := range v.Members {
		if !m.Leaving {
			list = append(list, eligible.Instance{Name: m.Name, DataCentre: m.DataCentre, Size: m.Size, InFlight: m.InFlight})
		}
	}
	var members []Member
	for _, in := range eligible.Choose(list) {
		members = append(members, v.Members[in.Name])
	}
	return members
}
