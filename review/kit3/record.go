package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
	// quiet leaves out what replicas begin and end.
	quiet atomic.Bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now()}, nil
}

// printf writes one line, with the time since the start in seconds.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.f.WriteString(line) // a record that can't be written shows in its absence
}

func (r *record) close() { r.f.Close() }
