package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// entryFields is the number of fields in an entry of KNOWN-RED.txt.
const entryFields = 4

// entry is a test that is known to fail.
type entry struct {
	pkg  string // import path
	test string
	text string // the complete line
}

// readKnownRed reads the entries of a file. A missing file counts as an empty one.
func readKnownRed(path, module string) ([]entry, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []entry
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := parseEntry(line, module)
		if err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", path, i+1, err)
		}
		list = append(list, e)
	}
	return list, nil
}

// parseEntry parses a line of KNOWN-RED.txt. A package that does not start with
// the module path is taken as relative to the module.
func parseEntry(line, module string) (entry, error) {
	fields := strings.Split(line, "|")
	if len(fields) != entryFields {
		return entry{}, errors.New("want: package TestName | command and seed | what was seen | issue")
	}
	for _, f := range fields {
		if strings.TrimSpace(f) == "" {
			return entry{}, errors.New("a field is empty")
		}
	}
	name := strings.Fields(fields[0])
	if len(name) != 2 || strings.Contains(name[1], "/") {
		return entry{}, errors.New("the first field must be a package and a top-level test")
	}
	pkg := strings.Trim(strings.TrimPrefix(name[0], "./"), "/")
	if !strings.HasPrefix(pkg, module) {
		pkg = module + "/" + pkg
	}
	return entry{pkg: pkg, test: name[1], text: line}, nil
}
