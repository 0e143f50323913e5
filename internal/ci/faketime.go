package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"path/filepath"
	"slices"
	"strings"
)

// fakeTimeTests returns the names of the tests of a package that run under fake
// time: those that call bubble.Test or synctest.Test, directly or through a
// function in the package's test files. Any occurrence of a function's name
// counts as a call.
func fakeTimeTests(dir string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		return nil, err
	}
	uses := map[string]map[string]bool{}
	for _, file := range files {
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, fmt.Errorf("parse tests: %w", err)
		}
		for _, d := range f.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok {
				recordNames(uses, fn)
			}
		}
	}
	fake := callersOf(uses, "bubble.Test", "synctest.Test")
	return slices.DeleteFunc(fake, func(name string) bool { return !strings.HasPrefix(name, "Test") }), nil
}

// recordNames adds the names that occur in a function to uses, under the
// function's own name.
func recordNames(uses map[string]map[string]bool, fn *ast.FuncDecl) {
	names := uses[fn.Name.Name]
	if names == nil {
		names = map[string]bool{}
		uses[fn.Name.Name] = names
	}
	ast.Inspect(fn, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.Ident:
			names[n.Name] = true
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok {
				names[x.Name+"."+n.Sel.Name] = true
			}
		}
		return true
	})
}

// callersOf returns the sorted names of the functions that use one of the targets,
// directly or through other functions.
func callersOf(uses map[string]map[string]bool, targets ...string) []string {
	reached := map[string]bool{}
	for _, t := range targets {
		reached[t] = true
	}
	for changed := true; changed; {
		changed = false
		for name, used := range uses {
			if !reached[name] && intersects(used, reached) {
				reached[name] = true
				changed = true
			}
		}
	}
	for _, t := range targets {
		delete(reached, t)
	}
	return slices.Sorted(maps.Keys(reached))
}

func intersects(a, b map[string]bool) bool {
	for name := range a {
		if b[name] {
			return true
		}
	}
	return false
}
