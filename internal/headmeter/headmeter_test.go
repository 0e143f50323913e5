package headmeter

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestEstimateCoversMemory checks that the estimate is at least what heads take in memory,
// from one long line to many short ones.
func TestEstimateCoversMemory(t *testing.T) {
	for _, valueBytes := range []int{0, 1, 10, 100, 1000, 30_000} {
		for _, size := range []int{1 << 10, 4 << 10, 16 << 10, 60 << 10} {
			var fields strings.Builder
			for i := 0; fields.Len() < size; i++ {
				fmt.Fprintf(&fields, "%x:%s\n", i, strings.Repeat("v", valueBytes))
			}
			text := "GET / HTTP/1.1\nHost: a\n" + fields.String() + "\n"
			var m Meter
			estimate := m.Add([]byte(text)) + Free
			if got := memoryOfRequest(t, text); got > estimate {
				t.Errorf("%d bytes in fields of %d: %d bytes in memory, estimate %d", len(text), valueBytes, got, estimate)
			}
			var opaque Meter
			if got := memoryOfRequest(t, text); got > opaque.AddOpaque(len(text))+Free {
				t.Errorf("%d bytes in fields of %d: %d bytes in memory, encrypted", len(text), valueBytes, got)
			}
		}
	}
}

// memoryOfRequest returns the memory of a request with a head.
func memoryOfRequest(t *testing.T, head string) int64 {
	const copies = 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var requests []*http.Request
	for range copies {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil {
			t.Fatal(err)
		}
		requests = append(requests, r)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(requests)
	return (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / copies
}

// TestMeterAnyPieces checks that the estimate does not depend on the pieces in which a head
// is read, and ends with the head.
func TestMeterAnyPieces(t *testing.T) {
	const provisional = "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"
	rapid.Check(t, func(t *rapid.T) {
		responses := rapid.Bool().Draw(t, "responses")
		head := strings.Repeat("Some-Field: some value\r\n", rapid.IntRange(0, 100).Draw(t, "fields")) + "\r\n"
		if responses {
			head = strings.Repeat(provisional, rapid.IntRange(0, 3).Draw(t, "provisional")) + "HTTP/1.1 200 OK\r\n" + head
		} else {
			head = "GET / HTTP/1.1\r\n" + head
		}
		whole := Meter{Responses: responses}
		want := whole.Add([]byte(head))
		pieces := Meter{Responses: responses}
		var got int64
		for rest := head + "body\r\n"; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "bytes")
			got += pieces.Add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if got != want {
			t.Errorf("in pieces %d, as a whole %d", got, want)
		}
	})
}
