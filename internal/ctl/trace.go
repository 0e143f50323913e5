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

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// idFields are the fields of log lines that hold the ID of a request, a step, a
// sample or a scoring call.
var idFields = []string{"request", "step", "sample", "call"}

// shownFirst are the fields of log lines that the tool shows by itself.
var shownFirst = map[string]bool{"time": true, "level": true, "msg": true, "instance": true}

type traceCommand struct {
	id    string
	files []string
}

func newTrace(app *kingpin.Application) *traceCommand {
	c := &traceCommand{}
	cmd := app.Command("trace", `Tells the story of one request, step or sample from the logs of several instances, in order of time. Asks no instance.

Each instance writes times by its own clock; those of two instances may differ, so the order of lines from two instances is certain only where it follows from what they say.`)
	cmd.Arg("id", "ID of a request, a step, a sample or a scoring call.").Required().StringVar(&c.id)
	cmd.Arg("files", "Logs of instances, JSON lines; without any, standard input is read.").StringsVar(&c.files)
	return c
}

// logLine is a line that names the ID.
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
		return fmt.Errorf("no line names %q", c.id)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int {
		return cmp.Or(a.time.Compare(b.time), cmp.Compare(a.instance, b.instance))
	})
	first := lines[0].time
	for _, l := range lines {
		fmt.Fprintf(s.Stdout, "%s %+9.3fs %-5s %s: %s%s\n", l.time.UTC().Format("15:04:05.000"),
			l.time.Sub(first).Seconds(), l.level, l.instance, l.message, l.rest())
	}
	return nil
}

// rest lists the other fields of a line in order of name.
func (l logLine) rest() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !shownFirst[name] {
			fmt.Fprintf(&b, " %s=%s", name, value(name, l.fields[name]))
		}
	}
	return b.String()
}

// durationFields hold times in nanoseconds.
var durationFields = map[string]bool{"took": true, "waited": true, "config_age": true}

func value(name string, raw json.RawMessage) string {
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

// scan reads the lines of a log that name the ID. Text before the first brace of
// a line, which collectors of logs may add, is passed over, and so are lines
// that are not JSON.
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
	head := []struct {
		name string
		into any
	}{{"time", &l.time}, {"instance", &l.instance}, {"level", &l.level}, {"msg", &l.message}}
	for _, h := range head {
		if raw, ok := fields[h.name]; ok && json.Unmarshal(raw, h.into) != nil {
			return logLine{}, false
		}
	}
	return l, c.names(fields)
}

// names reports whether a line is about the ID.
func (c *traceCommand) names(fields map[string]json.RawMessage) bool {
	for _, name := range idFields {
		var id string
		if raw, ok := fields[name]; ok && json.Unmarshal(raw, &id) == nil && id == c.id {
			return true
		}
	}
	return false
}
