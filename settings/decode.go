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

// decoder walks a parsed file along the structs and gathers every fault.
type decoder struct {
	data   []byte
	faults Faults
	lines  map[string]int // line of each field that the file holds
}

func (d *decoder) fault(line int, field, format string, args ...any) {
	d.faults = append(d.faults, Fault{Line: line, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) line(v *hujson.Value) int {
	return 1 + bytes.Count(d.data[:v.StartOffset], []byte("\n"))
}

// value stores a value of the file in a field of the settings.
func (d *decoder) value(v *hujson.Value, into reflect.Value, field string, tag reflect.StructTag) {
	d.lines[field] = d.line(v)
	if into.Kind() == reflect.Struct {
		d.object(v, into, field)
		return
	}
	if !d.decode(v, into) {
		d.fault(d.line(v), field, "want %s, got %s", expected(into.Type(), tag), got(v))
		return
	}
	if msg := checkValue(into, tag); msg != "" {
		d.fault(d.line(v), field, "%s", msg)
	}
}

func (d *decoder) decode(v *hujson.Value, into reflect.Value) bool {
	plain := v.Clone()
	plain.Standardize()
	data := bytes.TrimSpace(plain.Pack())
	if string(data) == "null" {
		return false
	}
	return json.Unmarshal(data, into.Addr().Interface()) == nil
}

func (d *decoder) object(v *hujson.Value, into reflect.Value, field string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(d.line(v), field, "want an object in braces, got %s", got(v))
		return
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		path := join(field, name)
		if seen[name] {
			d.fault(d.line(&m.Name), path, "is set twice")
			continue
		}
		seen[name] = true
		f, ok := fieldByName(into.Type(), name)
		if !ok {
			d.fault(d.line(&m.Name), path, "unknown field; want one of %s", strings.Join(fieldNames(into.Type()), ", "))
			continue
		}
		d.value(&m.Value, into.FieldByIndex(f.Index), path, f.Tag)
	}
}

// required reports fields that must be set and are not.
func (d *decoder) required(s reflect.Value, field string) {
	for _, f := range reflect.VisibleFields(s.Type()) {
		path := join(field, jsonName(f))
		value := s.FieldByIndex(f.Index)
		if value.Kind() == reflect.Struct {
			d.required(value, path)
			continue
		}
		_, present := d.lines[path]
		if f.Tag.Get("required") == "true" && !present {
			d.fault(d.lines[field], path, "is missing; want %s", expected(f.Type, f.Tag))
		}
	}
}

func join(field, name string) string {
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

// got describes a value without repeating a long or secret one.
func got(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a text"
	case 't', 'f':
		return "true or false"
	case 'n':
		return "null"
	default:
		return "the number " + v.Value.(hujson.Literal).String()
	}
}

// expected describes what a field takes, with its unit and bounds.
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
