package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/settings"
)

const completeFile = `{
	// An entry instance.
	"name": "entry-1",
	"data_centre": "north",
	"listen": {"callers": "10.0.0.1:7001", "peers": "10.0.0.1:7002", "operators": "127.0.0.1:7003"},
	"tls": {"peers": {"cert_file": "a.pem", "key_file": "a.key", "ca_file": "ca.pem"}},
	"platform": {"url": "http://10.0.0.9:7000", "token_env": "PLATFORM_TOKEN"},
	"timing": {"freshness": "1.5s"},
}`

func TestCompleteFile(t *testing.T) {
	s, err := settings.Parse([]byte(completeFile))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "entry-1" || time.Duration(s.Timing.Freshness) != 1500*time.Millisecond {
		t.Errorf("unexpected settings: %+v", s)
	}
	if s.Timing.Gossip != settings.Default().Timing.Gossip {
		t.Error("a missing field does not have its default")
	}
}

func TestEveryFaultAtOnce(t *testing.T) {
	_, err := settings.Parse([]byte(`{
	"name": "Entry 1",
	"listen": {
		"callers": "localhost:7001",
		"peers": 7002
	},
	"platform": {"url": "10.0.0.9:7000", "token_env": "my token", "token": "s3cret"},
	"limits": {"body_bytes": "8 MB", "in_flight": 0},
	/* more */ "timing": {"gossip": 250,
		"freshness": "2h"},
	"limits": {}
}`))
	want := []string{
		`line 2: name: want a name of lower-case letters, digits, dots and dashes`,
		`line 4: listen.callers: want an IP address and port, for example "10.0.0.1:7001"`,
		`line 5: listen.peers: want an IP address and port, for example "10.0.0.1:7001", got the number 7002`,
		`line 7: platform.url: want a URL, for example "http://10.0.0.9:7000"`,
		`line 7: platform.token_env: want the name of an environment variable`,
		`line 7: platform.token: unknown field; want one of duties_url, kind, token_env, url`,
		`line 8: limits.body_bytes: want a whole number of bytes, 1024 to 1073741824, got a string`,
		`line 8: limits.in_flight: want a whole number of requests, 1 to 1000000`,
		`line 9: timing.gossip: want a duration with its unit, for example "1.5s", 10ms to 10s, got the number 250`,
		`line 10: timing.freshness: want a duration with its unit, for example "1.5s", 200ms to 1m`,
		`line 11: limits: is set twice`,
		`line 1: data_centre: is missing; want a name of lower-case letters, digits, dots and dashes`,
		`line 3: listen.operators: is missing; want an IP address and port, for example "10.0.0.1:7001"`,
	}
	if got := strings.Split(err.Error(), "\n"); !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestConstraintsBetweenFields(t *testing.T) {
	text := strings.Replace(completeFile, `"freshness": "1.5s"`, `"freshness": "500ms"`, 1)
	text = strings.Replace(text, "10.0.0.1:7002", "10.0.0.1:7001", 1)
	_, err := settings.Parse([]byte(text))
	var faults settings.Faults
	if !errors.As(err, &faults) || len(faults) != 2 {
		t.Fatalf("got %v", err)
	}
	if faults[0].Field != "timing.store_poll" || faults[0].Line != 8 || faults[1].Field != "listen.peers" {
		t.Errorf("got %v", err)
	}
}

func TestEncryption(t *testing.T) {
	files := `{"cert_file": "a.pem", "key_file": "a.key", "ca_file": "ca.pem"}`
	for _, c := range []struct{ old, with, field string }{
		{files, `{}`, "listen.peers"},
		{files, `{"cert_file": "a.pem", "key_file": "a.key"}`, "tls.peers.ca_file"},
		{`"key_file": "a.key", `, ``, "tls.peers"},
		{`"operators": "127.0.0.1:7003"`, `"operators": "10.0.0.1:7003"`, "listen.operators"},
	} {
		_, err := settings.Parse([]byte(strings.Replace(completeFile, c.old, c.with, 1)))
		var faults settings.Faults
		if !errors.As(err, &faults) || len(faults) != 1 || faults[0].Field != c.field {
			t.Errorf("with %q instead of %q: got %v, want a fault of %s", c.with, c.old, err, c.field)
		}
	}
	open := strings.Replace(completeFile, files, `{}`, 1)
	open = strings.Replace(open, `"listen": {`, `"listen": {"allow_unencrypted_peers_and_operators": true, `, 1)
	if _, err := settings.Parse([]byte(open)); err != nil {
		t.Error(err)
	}
}

func TestMalformedFile(t *testing.T) {
	for _, text := range []string{"", "{", "[]", `{"name": null}`, "{\"listen\": []}"} {
		if _, err := settings.Parse([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
	if len(settings.Check("no/such/file")) != 1 {
		t.Error("a missing file is not reported as a single fault")
	}
}

func TestSecret(t *testing.T) {
	t.Setenv("CUMINCOVE_TEST_SECRET", "x")
	if v, err := settings.Secret("CUMINCOVE_TEST_SECRET"); err != nil || v != "x" {
		t.Errorf("got %q, %v", v, err)
	}
	if _, err := settings.Secret("CUMINCOVE_TEST_NO_SECRET"); err == nil {
		t.Error("an unset environment variable was accepted")
	}
}

// TestExamples checks that the example files named in README.md are valid.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*/entry-*.jsonc")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example file found, error: %v", err)
	}
	for _, file := range files {
		if faults := settings.Check(file); len(faults) > 0 {
			t.Errorf("%s: %v", file, faults)
		}
	}
}

// TestSettingsOfEarlierBuild guards against an upgrade in which this build refuses the
// settings of the last landed one, or reads them otherwise.
func TestSettingsOfEarlierBuild(t *testing.T) {
	data, err := os.ReadFile("testdata/managed-712bc38.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	s, err := settings.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	if s.Platform.Kind != settings.KindManaged || time.Duration(s.Timing.Shutdown) != 6500*time.Millisecond || s.Limits.MemoryMB != 314 {
		t.Errorf("unexpected settings: %+v", s)
	}
}
