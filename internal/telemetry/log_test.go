package telemetry_test

import (
	"bytes"
	"encoding/json"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/internal/telemetry"
)

// blockedWriter is an output whose writes block until block is closed.
type blockedWriter struct{ block chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.block
	return len(p), nil
}

// TestLogNeverBlocks checks that lines are dropped while the output blocks.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		log, closer := telemetry.NewLog(out, tally.NoopScope)
		start := time.Now()
		for range 100_000 {
			log.Error("oops")
			log.Info("fine")
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("logging blocked for %v", took)
		}
		if err := closer.Close(); err != nil {
			t.Error(err)
		}
		close(out.block)
		synctest.Wait()
	})
}

// TestLogBoundsMemory guards against lines with long texts of clients that take the memory
// while the output blocks.
func TestLogBoundsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines, text, most = 5000, 16 << 10, 4 << 20
		out := blockedWriter{make(chan struct{})}
		log, closer := telemetry.NewLog(out, tally.NoopScope)
		id := strings.Repeat("x", text)
		before := heap()
		for range lines {
			log.Info("request failed", "request", id)
			time.Sleep(10 * time.Millisecond) // within the rate of a message
		}
		if grown := heap() - before; grown > most {
			t.Errorf("the queue takes %d bytes, want at most %d", grown, most)
		}
		if err := closer.Close(); err != nil {
			t.Error(err)
		}
		close(out.block)
		synctest.Wait()
	})
}

// heap returns the memory in use.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestLogBoundsRatePerMessage checks that a message whose rate exceeds the
// bound does not displace lines with other messages, and that its dropped lines
// are reported.
func TestLogBoundsRatePerMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log, closer := telemetry.NewLog(&out, tally.NoopScope)
		for range 1000 {
			log.Info("often")
		}
		log.With("step", "s1").Info("seldom")
		time.Sleep(2 * time.Second)
		if err := closer.Close(); err != nil {
			t.Fatal(err)
		}
		counts := map[string]int{}
		for line := range strings.Lines(out.String()) {
			var l struct {
				Msg   string         `json:"msg"`
				Kinds map[string]int `json:"kinds"`
			}
			if err := json.Unmarshal([]byte(line), &l); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			counts[l.Msg]++
			counts["dropped"] += l.Kinds["often"]
		}
		if counts["often"] != 200 || counts["seldom"] != 1 || counts["dropped"] != 800 {
			t.Errorf("unexpected numbers of lines: %v", counts)
		}
	})
}

// BenchmarkLog measures the time to log one line about a request.
func BenchmarkLog(b *testing.B) {
	log, closer := telemetry.NewLog(io.Discard, tally.NoopScope)
	defer closer.Close()
	for b.Loop() {
		log.Info("request served", "request", "9c41d07be2a35f68", "team", "wells", "service", "app", "endpoint", "i-1", "took", time.Millisecond)
	}
}
