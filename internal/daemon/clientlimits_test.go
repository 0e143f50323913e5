package daemon

import (
	"testing"

	"github.com/cumincove/cumincove/settings"
)

// TestClientLimits checks that limits of the machine bound memory and connections,
// and that settings replace the default for memory.
func TestClientLimits(t *testing.T) {
	at := func(memoryMB, requestMB int, p processLimits) clientLimits {
		l := settings.Default().Limits
		l.MemoryMB, l.RequestMemoryMB = memoryMB, requestMB
		return newClientLimits(l, p)
	}
	for _, c := range []struct {
		name      string
		got, want clientLimits
	}{
		{"nothing known", at(0, 0, processLimits{}), clientLimits{1024 * mib, 256 * mib, 10_000, 64, 10_000, 2500, 2500}},
		{"descriptors", at(0, 0, processLimits{descriptors: 800}), clientLimits{1024 * mib, 256 * mib, 263, 37, 100, 25, 25}},
		{"few descriptors", at(0, 0, processLimits{descriptors: 64}), clientLimits{1024 * mib, 256 * mib, 21, 3, 8, 8, 8}},
		{"memory", at(1024, 0, processLimits{}), clientLimits{(1024*mib*70/100 - 24*mib) / 2, (1024*mib*70/100 - 24*mib) / 8, 1574, 64, 819, 409, 204}},
		{"process limit", at(1024, 0, processLimits{memory: 64 * mib}), clientLimits{8 * mib, 2 * mib, 90, 12, 51, 25, 12}},
		{"little memory", at(16, 0, processLimits{}), clientLimits{4 * mib, mib, 22, 3, 12, 8, 8}},
		{"setting", at(64, 16, processLimits{}), clientLimits{16 * mib, 4 * mib, 90, 12, 51, 25, 12}},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, c.got, c.want)
		}
	}
}

// TestLimitsOfCallersOnly: the setting for connections bounds callers only.
func TestLimitsOfCallersOnly(t *testing.T) {
	l := settings.Default().Limits
	l.Connections = 20
	want := clientLimits{1024 * mib, 256 * mib, 20, 64, 1000, 250, 250}
	if got := newClientLimits(l, processLimits{descriptors: 8000}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestDescriptorsSetting: of the setting's descriptors some are for files, and a lower
// limit of the process replaces it.
func TestDescriptorsSetting(t *testing.T) {
	for _, c := range []struct{ setting, process, want int }{
		{0, 0, 0}, {0, 800, 800}, {8200, 0, 8000}, {8200, 800, 800}, {1000, 8000, 800}, {100, 0, minConns},
	} {
		l := settings.Default().Limits
		l.Descriptors = c.setting
		if got := descriptors(l, processLimits{descriptors: int64(c.process)}); got != c.want {
			t.Errorf("setting %d, process %d: got %d, want %d", c.setting, c.process, got, c.want)
		}
	}
}
