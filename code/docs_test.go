package code_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/cumincove/cumincove/code"
)

// TestDocs checks that docs/CODES.md matches the table. Run
// go test ./code -update to regenerate the page.
func TestDocs(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Result codes\n\n" +
		"Each response contains its code in the header `X-Cumincove-Code` and, on failure, in\n" +
		"the JSON body; logs and metrics contain the same number. *Effect* states whether the\n" +
		"request was not run, may have run (at most once), or ran; it is also in the header\n" +
		"`X-Cumincove-Effect`. *Come back* is the time after which the same request is worth\n" +
		"sending again; it is also in the header `Retry-After`, in whole seconds, rounded up.\n" +
		"`cumincovectl explain CODE` shows the same information. This page is generated from\n" +
		"the program (`go test ./code -update`).\n\n" +
		"1000s: the request; 2000s: this instance's state; 3000s: endpoints; 4000s: rollouts;\n" +
		"5000s: operators; 9000s: faults of this program.\n\n" +
		"| code | name | HTTP status | effect | come back | meaning |\n|---|---|---|---|---|---|\n")
	for _, i := range code.All() {
		retryAfter := "no"
		if i.RetryAfter > 0 {
			retryAfter = i.RetryAfter.String()
		}
		fmt.Fprintf(&b, "| %d | `%s` | %d | `%s` | %s | %s |\n", i.Number, i.Name, i.HTTPStatus, i.Effect, retryAfter, i.Help)
	}
	g := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "CODES", []byte(b.String()))
}

// TestTable checks that numbers are sorted and unique, that names are unique,
// and that every code has an effect, a status and a meaning.
func TestTable(t *testing.T) {
	all := code.All()
	if !slices.IsSortedFunc(all, func(a, b code.Info) int { return int(a.Number - b.Number) }) {
		t.Error("the table is not sorted by number")
	}
	names, numbers := map[string]bool{}, map[code.Number]bool{}
	for _, i := range all {
		if names[i.Name] || numbers[i.Number] {
			t.Errorf("code %d %s is in the table twice", i.Number, i.Name)
		}
		names[i.Name], numbers[i.Number] = true, true
		if i.Help == "" || i.HTTPStatus < 200 || (i.Effect != code.NotRun && i.Effect != code.MaybeRun && i.Effect != code.Ran) {
			t.Errorf("code %d %s lacks a meaning, status or effect", i.Number, i.Name)
		}
	}
}
