package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// printer writes responses as tables or JSON.
type printer struct {
	w    io.Writer
	json bool
}

// table is a heading and rows. Each row has as many cells as the heading.
type table struct {
	heading []string
	rows    [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// print writes msg if the output is JSON, and otherwise the tables, which show
// the same data.
func (p printer) print(msg any, tables ...table) error {
	if p.json {
		enc := json.NewEncoder(p.w)
		enc.SetIndent("", "  ")
		return enc.Encode(msg)
	}
	for i, t := range tables {
		if i > 0 {
			fmt.Fprintln(p.w)
		}
		if err := p.table(t); err != nil {
			return err
		}
	}
	return nil
}

func (p printer) table(t table) error {
	w := tabwriter.NewWriter(p.w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.heading, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// lines writes msg if the output is JSON, and otherwise the lines, which show the
// same data.
func (p printer) lines(msg any, lines ...string) error {
	if p.json {
		return p.print(msg)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(p.w, line); err != nil {
			return err
		}
	}
	return nil
}

func labels(set map[string]string) string {
	pairs := make([]string, 0, len(set))
	for _, name := range slices.Sorted(maps.Keys(set)) {
		pairs = append(pairs, name+"="+set[name])
	}
	return strings.Join(pairs, ",")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
