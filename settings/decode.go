package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/cumincove/cumincove/config"
)

var durationType = reflect.TypeFor[config.Duration]()

// decoder decodes a parsed file into the structs and collects all faults.
type decoder struct {
	data   []byte
	faults Faults
	lines  map[string]int // line of each field that the file sets
}

func (d *decoder) addFault(line int, field, format string, args ...any) {
	d.faults = append(d.faults, Fault{Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) lineAt(v *hujson.Value) int {
	return 1 + bytes.Count(d.data[:v.StartOffset], []byte("\n"))
}

// decodeValue decodes v into a field of the settings and checks it.
func (d *decoder) decodeValue(v *hujson.Value, into reflect.Value, field string, tag reflect.StructTag) {
	d.lines[field] = d.lineAt(v)
	if into.Kind() == reflect.Struct {
		d.decodeObject(v, into, field)
		return
	}
	if !d.unmarshal(v, into) {
		d.addFault(d.lineAt(v), field, "want %s, got %s", expected(into.Type(), tag), describe(v))
		return
	}
	if msg := checkValue(into, tag); msg != "" {
		d.addFault(d.lineAt(v), field, "%s", msg)
	}
}

func (d *decoder) unmarshal(v *hujson.Value, into reflect.Value) bool {
	standard := v.Clone()
	standard.Standardize()
	data := bytes.TrimSpace(standard.Pack())
	if string(data) == "null" {
		return false
	}
	return json.Unmarshal(data, into.Addr().Interface()) == nil
}

func (d *decoder) decodeObject(v *hujson.Value, into reflect.Value, field string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFault(d.lineAt(v), field, "want an object in braces, got %s", describe(v))
		return
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		path := joinPath(field, name)
		if seen[name] {
			d.addFault(d.lineAt(&m.Name), path, "is set twice")
			continue
		}
		seen[name] = true
		f, ok := fieldByName(into.Type(), name)
		if !ok {
			d.addFault(d.lineAt(&m.Name), path, "unknown field; want one of %s", strings.Join(fieldNames(into.Type()), ", "))
			continue
		}
		d.decodeValue(&m.Value, into.FieldByIndex(f.Index), path, f.Tag)
	}
}

// checkRequired reports required fields that the file does not set.
func (d *decoder) checkRequired(s reflect.Value, field string) {
	for _, f := range reflect.VisibleFields(s.Type()) {
		path := joinPath(field, jsonName(f))
		value := s.FieldByIndex(f.Index)
		if value.Kind() == reflect.Struct {
			d.checkRequired(value, path)
			continue
		}
		_, present := d.lines[path]
		if f.Tag.Get("required") == "true" && !present {
			d.addFault(d.lines[field], path, "is missing; want %s", expected(f.Type, f.Tag))
		}
	}
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for _, f := range reflect.VisibleFields(t) {
		if jsonName(f) == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		names = append(names, jsonName(f))
	}
	slices.Sort(names)
	return names
}

// describe returns a description of a value for a fault. It does not repeat
// strings, which may be long or secret.
func describe(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case 't', 'f':
		return "true or false"
	case 'n':
		return "null"
	default:
		return "the number " + v.Value.(hujson.Literal).String()
	}
}

// expected describes the values that a field accepts, with unit and bounds.
func expected(t reflect.Type, tag reflect.StructTag) string {
	text := ""
	switch {
	case t == durationType:
		text = `a duration with its unit, for example "1.5s"`
	case t.Kind() == reflect.String:
		text = formats[tag.Get("format")].expected
	case t.Kind() == reflect.Bool:
		text = "true or false"
	case t.Kind() == reflect.Slice:
		text = "a list"
	case t.Kind() == reflect.Float64:
		text = "a number"
	default:
		text = "a whole number"
	}
	if unit := tag.Get("unit"); unit != "" {
		text += " of " + unit
	}
	if tag.Get("min") != "" {
		text += fmt.Sprintf(", %s to %s", tag.Get("min"), tag.Get("max"))
	}
	return text
}

func parseBound(text string) time.Duration {
	bound, err := time.ParseDuration(text)
	if err != nil {
		panic("settings: bound in a tag: " + err.Error())
	}
	return bound
}
