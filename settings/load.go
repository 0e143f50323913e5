package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one error in a settings file.
type Fault struct {
	// Line is the line in the file, starting at 1. Zero means that the file
	// could not be read or parsed.
	Line int
	// Field is the path of the field, for example "limits.body_bytes".
	Field string
	// Message describes the error and the expected value with its unit.
	Message string
}

// String formats the fault as "line 3: limits.body_bytes: message".
func (f Fault) String() string {
	text := f.Message
	if f.Field != "" {
		text = f.Field + ": " + text
	}
	if f.Line > 0 {
		text = fmt.Sprintf("line %d: %s", f.Line, text)
	}
	return text
}

// Faults is the list of all faults of a file. It implements error.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file. Fields that the file does not set have their
// defaults. The error is of type Faults.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Faults{{Message: err.Error()}}
	}
	return Parse(data)
}

// Check returns all faults of a settings file.
func Check(path string) []Fault {
	_, err := Load(path)
	var faults Faults
	errors.As(err, &faults)
	return faults
}

// Parse decodes settings. Fields that data does not set have their defaults.
// The error is of type Faults.
func Parse(data []byte) (Settings, error) {
	s := Default()
	root, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, Faults{{Message: err.Error()}}
	}
	d := decoder{data: data, lines: map[string]int{}}
	d.decodeValue(&root, reflect.ValueOf(&s).Elem(), "", "")
	d.checkRequired(reflect.ValueOf(s), "")
	if len(d.faults) == 0 {
		d.checkRelations(s)
	}
	if len(d.faults) > 0 {
		return Settings{}, d.faults
	}
	return s, nil
}

// Secret returns the value of an environment variable that the settings name.
// An empty name means that there is no secret. A variable that is unset or
// empty is an error.
func Secret(env string) (string, error) {
	if env == "" {
		return "", nil
	}
	value := os.Getenv(env)
	if value == "" {
		return "", fmt.Errorf("environment variable %s is not set", env)
	}
	return value, nil
}
