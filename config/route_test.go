package config

import "testing"

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Targets: []RouteTarget{{"a", 90}, {"b", 10}, {"c", 0}}}
	for _, c := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.9, "b"}, {0.999, "b"}} {
		if got := r.PickService(c.draw); got != c.want {
			t.Errorf("PickService(%v) = %q, want %q", c.draw, got, c.want)
		}
	}
	if got := (Route{}).PickService(0.5); got != "" {
		t.Errorf("PickService of a route without targets = %q, want none", got)
	}
}
