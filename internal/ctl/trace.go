package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// idFields are the log fields that contain the ID of a request, a step, a sample
// or a scoring call.
var idFields = []string{"request", "step", "sample", "call"}

// positionedFields are the log fields that have a fixed position in the output.
var positionedFields = map[string]bool{"time": true, "level": true, "msg": true, "instance": true}

type traceCommand struct {
	id    string
	files []string
}

func newTrace(app *kingpin.Application) *traceCommand {
	c := &traceCommand{}
	cmd := app.Command("trace", `Shows the log lines about one request, step, sample or scoring call from the logs of several instances, ordered by time. Calls no instance.

Each instance takes the times from its own clock, and the clocks of two instances may differ. The order of lines from two instances is therefore certain only where it follows from their content.`)
	cmd.Arg("id", "ID of a request, a step, a sample or a scoring call.").Required().StringVar(&c.id)
	cmd.Arg("files", "Log files of instances, as JSON lines; by default standard input is read.").StringsVar(&c.files)
	return c
}

// logLine is a log line that contains the ID.
type logLine struct {
	time     time.Time
	instance string
	level    string
	message  string
	fields   map[string]json.RawMessage
}

func (c *traceCommand) run(_ context.Context, s *session) error {
	lines, err := c.read(s.Stdin)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line has the ID %q", c.id)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int {
		return cmp.Or(a.time.Compare(b.time), cmp.Compare(a.instance, b.instance))
	})
	first := lines[0].time
	for _, l := range lines {
		fmt.Fprintf(s.Stdout, "%s %+9.3fs %-5s %s: %s%s\n", l.time.UTC().Format("15:04:05.000"),
			l.time.Sub(first).Seconds(), l.level, l.instance, l.message, l.otherFields())
	}
	return nil
}

// otherFields returns the remaining fields of a line, ordered by name.
func (l logLine) otherFields() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !positionedFields[name] {
			fmt.Fprintf(&b, " %s=%s", name, formatValue(name, l.fields[name]))
		}
	}
	return b.String()
}

// durationFields are the log fields that contain durations in nanoseconds.
var durationFields = map[string]bool{"took": true, "waited": true, "config_age": true}

func formatValue(name string, raw json.RawMessage) string {
	var ns int64
	if durationFields[name] && json.Unmarshal(raw, &ns) == nil {
		return time.Duration(ns).Round(time.Microsecond).String()
	}
	return string(raw)
}

func (c *traceCommand) read(stdin io.Reader) ([]logLine, error) {
	if len(c.files) == 0 {
		return c.scan(stdin)
	}
	var all []logLine
	for _, name := range c.files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := c.scan(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// scan reads the lines of a log that contain the ID. It ignores text before the
// first brace of a line, which log collectors may add, and lines that are not
// JSON.
func (c *traceCommand) scan(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		brace := bytes.IndexByte(text, '{')
		if brace < 0 || !bytes.Contains(text, []byte(c.id)) {
			continue
		}
		if l, ok := c.parse(text[brace:]); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func (c *traceCommand) parse(text []byte) (logLine, bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		return logLine{}, false
	}
	l := logLine{fields: fields}
	common := []struct {
		name string
		into any
	}{{"time", &l.time}, {"instance", &l.instance}, {"level", &l.level}, {"msg", &l.message}}
	for _, field := range common {
		if raw, ok := fields[field.name]; ok && json.Unmarshal(raw, field.into) != nil {
			return logLine{}, false
		}
	}
	return l, c.matchesID(fields)
}

// matchesID reports whether one of the fields that contain IDs has the ID.
func (c *traceCommand) matchesID(fields map[string]json.RawMessage) bool {
	for _, name := range idFields {
		var id string
		if raw, ok := fields[name]; ok && json.Unmarshal(raw, &id) == nil && id == c.id {
			return true
		}
	}
	return false
}
