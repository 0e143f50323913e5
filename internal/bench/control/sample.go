package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTicks is the number of clock ticks per second, in which /proc gives
	// processor times (proc(5)).
	clockTicks = 100
	megabyte   = 1 << 20
	kilobyte   = 1 << 10
)

// usage is the resource usage of one process since it started.
type usage struct {
	processor     time.Duration
	memory        int64 // current resident size, in bytes
	read, written int64 // bytes
}

// sample is the usage of all instances and of the store up to a point in time.
type sample struct {
	at            time.Time
	processes     []usage
	reads, writes uint64 // at the store
}

// values contains the value of one quantity for each instance.
type values []float64

func (v values) max() float64 { return slices.Max(v) }

func (v values) mean() float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

// cost is the cost of the control traffic.
type cost struct {
	processor      values  // percent of a core
	memory         values  // MB
	sent, received values  // KB/s
	reads, writes  float64 // at the store, per second
}

// costBetween returns the cost in the period between two samples.
func costBetween(a, b *sample) *cost {
	seconds := b.at.Sub(a.at).Seconds()
	c := &cost{
		reads:  float64(b.reads-a.reads) / seconds,
		writes: float64(b.writes-a.writes) / seconds,
	}
	for i, p := range b.processes {
		earlier := a.processes[i]
		c.processor = append(c.processor, 100*(p.processor-earlier.processor).Seconds()/seconds)
		c.memory = append(c.memory, float64(p.memory)/megabyte)
		c.sent = append(c.sent, float64(p.written-earlier.written)/kilobyte/seconds)
		c.received = append(c.received, float64(p.read-earlier.read)/kilobyte/seconds)
	}
	return c
}

// readUsage reads the usage of a process from /proc (proc(5)).
func readUsage(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // the process name may contain spaces
	fields := strings.Fields(rest)
	const user, system = 11, 12
	ticks := parseNumber(fields[user]) + parseNumber(fields[system])
	u.processor = time.Duration(ticks) * time.Second / clockTicks
	if u.memory, err = readField(pid, "status", "VmRSS"); err != nil {
		return u, err
	}
	u.memory *= kilobyte
	if u.read, err = readField(pid, "io", "rchar"); err != nil {
		return u, err
	}
	u.written, err = readField(pid, "io", "wchar")
	return u, err
}

// readField reads the number of the line "name: number" in a file of a process
// in /proc.
func readField(pid int, file, name string) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		key, value, _ := strings.Cut(line, ":")
		if key == name {
			return parseNumber(strings.Fields(value)[0]), nil
		}
	}
	return 0, fmt.Errorf("no %s in /proc/%d/%s", name, pid, file)
}

// parseNumber returns 0 if text is not a number.
func parseNumber(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}
