package settings_test

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/cumincove/cumincove/settings"
)

// TestDocs checks that docs/SETTINGS.md matches the structs. Run
// go test ./settings -update to regenerate the page.
func TestDocs(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	d := docs{structs: structs(file)}
	d.WriteString("# Settings\n\n" +
		"The daemon's settings file is JSON with comments and trailing commas.\n" +
		"`cumincoved check -c FILE` reports all faults in the file together. The file never\n" +
		"contains secrets: it names the environment variables that contain them. Durations\n" +
		"are strings such as `\"1.5s\"`. This page is generated from the program\n" +
		"(`go test ./settings -update`).\n\n" +
		"| field | value | default | meaning |\n|---|---|---|---|\n")
	d.rows("Settings", reflect.ValueOf(settings.Default()), "")
	g := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "SETTINGS", []byte(d.String()))
}

type docs struct {
	strings.Builder
	structs map[string]*ast.StructType
}

func structs(file *ast.File) map[string]*ast.StructType {
	found := map[string]*ast.StructType{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.TypeSpec); ok {
			if s, ok := spec.Type.(*ast.StructType); ok {
				found[spec.Name.Name] = s
			}
		}
		return true
	})
	return found
}

func (d *docs) rows(name string, v reflect.Value, prefix string) {
	for i, field := range d.structs[name].Fields.List {
		f := v.Type().Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Type.Kind() == reflect.Struct {
			d.rows(f.Type.Name(), v.Field(i), prefix+key+".")
			continue
		}
		doc := strings.Join(strings.Fields(field.Doc.Text()), " ")
		fmt.Fprintf(d, "| `%s%s` | %s | %s | %s |\n", prefix, key, takes(f), preset(f, v.Field(i)), doc)
	}
}

func takes(f reflect.StructField) string {
	text := f.Type.Name()
	for _, tag := range []string{"format", "unit"} {
		if value := f.Tag.Get(tag); value != "" {
			text += ", " + value
		}
	}
	if f.Tag.Get("min") != "" {
		text += fmt.Sprintf(", %s to %s", f.Tag.Get("min"), f.Tag.Get("max"))
	}
	return text
}

func preset(f reflect.StructField, v reflect.Value) string {
	if f.Tag.Get("required") == "true" {
		return "required"
	}
	data, err := json.Marshal(v.Interface())
	if err != nil {
		panic(err)
	}
	return "`" + string(data) + "`"
}
