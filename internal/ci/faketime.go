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

// fakeTimeTests names the tests of a package that run under fake time: those
// that call bubble.Test or synctest.Test, themselves or through a function of
// the package's tests. A function counts as called wherever its name stands.
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
				noteNames(uses, fn)
			}
		}
	}
	fake := reaching(uses, "bubble.Test", "synctest.Test")
	return slices.DeleteFunc(fake, func(name string) bool { return !strings.HasPrefix(name, "Test") }), nil
}

// noteNames adds the names that stand in a function to those of its name.
func noteNames(uses map[string]map[string]bool, fn *ast.FuncDecl) {
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

// reaching returns, sorted, the functions that use one of the names, directly
// or through others.
func reaching(uses map[string]map[string]bool, targets ...string) []string {
	reached := map[string]bool{}
	for _, t := range targets {
		reached[t] = true
	}
	for grown := true; grown; {
		grown = false
		for name, used := range uses {
			if !reached[name] && intersects(used, reached) {
				reached[name] = true
				grown = true
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
