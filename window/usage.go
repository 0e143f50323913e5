package window

import "maps"

// Usage is an amount of requests and tokens.
type Usage struct {
	Requests uint64 `json:"requests"`
	Tokens   uint64 `json:"tokens"`
	// Late is the part of Tokens that belongs to earlier windows.
	Late uint64 `json:"late,omitempty"`
}

// Plus returns the sum of u and v.
func (u Usage) Plus(v Usage) Usage {
	return Usage{u.Requests + v.Requests, u.Tokens + v.Tokens, u.Late + v.Late}
}

// Totals contains the usage of each team.
type Totals map[string]Usage

// Add adds u to the usage of a team.
func (t Totals) Add(team string, u Usage) { t[team] = t[team].Plus(u) }

// Sum returns the total usage of all teams.
func (t Totals) Sum() Usage {
	var sum Usage
	for _, u := range t {
		sum = sum.Plus(u)
	}
	return sum
}

// minus returns the difference of t and v. Totals only grow, so no amount in v is
// greater than that in t.
func (t Totals) minus(v Totals) Totals {
	rest := Totals{}
	for team, u := range t {
		c := v[team]
		if u != c {
			rest[team] = Usage{u.Requests - c.Requests, u.Tokens - c.Tokens, u.Late - c.Late}
		}
	}
	return rest
}

func (t Totals) equal(v Totals) bool { return maps.Equal(t, v) }

// Closed is the row that determines which windows are closed, and thus accept no
// more usage.
type Closed struct {
	// UpTo is the first open window.
	UpTo int64 `json:"up_to"`
	// Pruned is the first window for which the instances' rows have not been
	// deleted.
	Pruned int64 `json:"pruned"`
}

// Cursor is the row that stores the progress of the Sealer.
type Cursor struct {
	// Seal is the next window to freeze, and Report the next one to report.
	Seal   int64 `json:"seal"`
	Report int64 `json:"report"`
}

// Report contains the totals of a frozen window.
type Report struct {
	Window int64  `json:"window"`
	Teams  Totals `json:"teams"`
}
