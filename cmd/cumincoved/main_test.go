package main

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cumincove/cumincove/settings"
)

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestHangup checks that SIGHUP causes the settings file to be read again and
// does not end the process.
func TestHangup(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(file, []byte(`{"name": 5}`), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var out buffer
	hangups := notifyHangup()
	go checkSettingsOnHangup(ctx, hangups, source{file: file}, settings.Default(), slog.New(slog.NewTextHandler(&out, nil)))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		if strings.Contains(out.String(), "settings file is invalid") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("the log does not report the invalid settings file: %q", out.String())
}

// TestHangupWhileLeaving checks that a SIGHUP after SIGTERM does not end the
// process, which still responds to requests during its shutdown. The test sends
// the signal to its own process, so that a SIGHUP that is not caught ends the test.
func TestHangupWhileLeaving(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	hangups := notifyHangup()
	cancel()
	checkSettingsOnHangup(ctx, hangups, source{}, settings.Default(), slog.New(slog.DiscardHandler))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-hangups:
	case <-t.Context().Done():
	}
}

// TestDescriptorsFlag checks that the flag replaces the setting, also if it is empty because
// the platform has no value for it.
func TestDescriptorsFlag(t *testing.T) {
	const file = "../../examples/first/entry-1.jsonc"
	for _, c := range []struct {
		flag string
		want int
		ok   bool
	}{{"", 0, true}, {"8200", 8200, true}, {"x", 0, false}, {"-1", 0, false}} {
		s, err := source{file, c.flag}.load()
		if (err == nil) != c.ok || c.ok && s.Limits.Descriptors != c.want {
			t.Errorf("flag %q: %d descriptors, error %v", c.flag, s.Limits.Descriptors, err)
		}
	}
}
