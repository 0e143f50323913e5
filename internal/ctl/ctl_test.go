package ctl_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/internal/ctl"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/internal/systemtest"
)

const deployment = `{
	// Two teams and their service.
	"teams": [{"name": "celeste", "labels": {"firm": "celeste"}}, {"name": "sahra", "weight": 2}],
	"services": [{"name": "tags", "type": "engine", "endpoints": "role=tags", "teams": ["celeste"]}],
	"endpoints": [
		{"name": "e1", "data_centre": "x", "addr": "127.0.0.1:9", "labels": {"zone": "a", "role": "tags"}},
		{"name": "e2", "data_centre": "x", "addr": "127.0.0.1:9", "labels": {"zone": "b", "role": "tags"}},
	],
}`

// start runs one instance and returns the fake platform and the URL of the
// instance's operators' address.
func start(t *testing.T) (*fakeplatform.Platform, string) {
	t.Helper()
	sys := systemtest.Start(t, daemontest.Options{DataCentres: []string{"x"}})
	url := "http://" + sys.Instances[0].Settings.Listen.Operators
	for {
		resp, err := http.Get(url + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return sys.Platform, url
			}
		}
		time.Sleep(time.Millisecond)
	}
}

type tool struct {
	*testing.T
	url string
}

// run executes a command line, checks its exit code and returns its output.
func (c tool) run(wantExit int, args ...string) string {
	c.Helper()
	var out bytes.Buffer
	env := ctl.Env{
		Stdin: strings.NewReader(deployment), Stdout: &out, Stderr: &out,
		Getenv: func(name string) string { return map[string]string{"USER": "ana"}[name] },
	}
	if got := ctl.Run(append(args, "--server", c.url), env); got != wantExit {
		c.Fatalf("%v: exit code %d, want %d\n%s", args, got, wantExit, out.String())
	}
	return out.String()
}

func (c tool) wantContains(text string, parts ...string) {
	c.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			c.Errorf("%q is missing from:\n%s", part, text)
		}
	}
}

func TestCommands(t *testing.T) {
	_, url := start(t)
	c := tool{t, url}
	c.wantContains(c.run(ctl.ExitOK, "apply", "-f", "-", "--dry-run"), "+ team celeste", "dry run")
	c.wantContains(c.run(ctl.ExitOK, "get", "teams"), "TEAM")
	c.wantContains(c.run(ctl.ExitOK, "apply", "-f", "-"), "+ service tags", "version 1 is committed")
	c.wantContains(c.run(ctl.ExitOK, "apply", "-f", "-"), "nothing to change")
	c.wantContains(c.run(ctl.ExitRefused, "apply", "-f", "-", "--expect", "7"), "5000 version_conflict")

	list := c.run(ctl.ExitOK, "get", "endpoints", "-l", "zone=a")
	c.wantContains(list, "e1")
	if strings.Contains(list, "e2") {
		t.Errorf("the selector zone=a also selects e2:\n%s", list)
	}
	var objects api.Objects
	if err := json.Unmarshal([]byte(c.run(ctl.ExitOK, "get", "all", "-o", "json")), &objects); err != nil {
		t.Fatal(err)
	}
	if len(objects.Teams) != 2 || len(objects.Endpoints) != 2 {
		t.Errorf("got objects %+v, want 2 teams and 2 endpoints", objects)
	}

	key := strings.TrimSpace(c.run(ctl.ExitOK, "key", "create", "coach-1", "--team", "celeste"))
	if keys := c.run(ctl.ExitOK, "get", "keys"); strings.Contains(keys, key) {
		t.Errorf("get keys shows the key itself:\n%s", keys)
	}
	c.wantContains(c.run(ctl.ExitOK, "key", "withdraw", "coach-1"), "durable yes")
	c.wantContains(c.run(ctl.ExitOK, "get", "key", "coach-1"), "yes")
	c.run(ctl.ExitRefused, "key", "withdraw", "coach-2")

	c.wantContains(c.run(ctl.ExitOK, "delete", "endpoints", "-l", "zone=b"), "- endpoint e2")
	c.wantContains(c.run(ctl.ExitOK, "audit"), "ana", "create key coach-1", "withdraw key coach-1", "- endpoint e2")
	c.wantContains(c.run(ctl.ExitOK, "status"), "instance-1", "e1", "celeste")
	c.wantContains(c.run(ctl.ExitOK, "drain"), "draining: yes")
}

func TestExitCodes(t *testing.T) {
	fake, url := start(t)
	c := tool{t, url}
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	if err := os.WriteFile(bad, []byte("{\n\"teams\": [\n{\"nmae\": \"x\"}]}"), 0o600); err != nil {
		t.Fatal(err)
	}
	c.wantContains(c.run(ctl.ExitUsage, "apply", "-f", bad), "line 3", "nmae")
	c.run(ctl.ExitUsage, "frob")
	c.run(ctl.ExitUsage, "get", "cats")
	c.run(ctl.ExitUsage, "delete", "teams")
	c.wantContains(c.run(ctl.ExitOK, "explain", "not_fresh"), "2000")
	c.run(ctl.ExitUsage, "explain", "1")
	c.wantContains(c.run(ctl.ExitOK, "--help"), "Exit codes")
	unreachable := tool{t, "http://127.0.0.1:1"}
	c.wantContains(unreachable.run(ctl.ExitUnreachable, "status"), "no instance could be reached")

	fake.SetFaults(fakeplatform.Faults{Down: true})
	c.wantContains(c.run(ctl.ExitRefused, "apply", "-f", "-"), "2003 store_down")
	fake.SetFaults(fakeplatform.Faults{LoseRequests: -1})
	c.wantContains(c.run(ctl.ExitUnknown, "apply", "-f", "-"), "5002 commit_unknown")
	fake.SetFaults(fakeplatform.Faults{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	unresponsive := tool{t, "http://" + listener.Addr().String()}
	unresponsive.run(ctl.ExitUnknown, "--timeout", "50ms", "apply", "-f", "-")
}

// TestSpend checks that the cost of ordered endpoints, as the platform runs them,
// is in the status.
func TestSpend(t *testing.T) {
	_, url := start(t)
	c := tool{t, url}
	file := filepath.Join(t.TempDir(), "pools.jsonc")
	pools := `{"services": [{"name": "clips", "type": "plain", "pools": [
		{"data_centre": "x", "tier": "cheap", "min": 3, "max": 3, "hourly_cost": 1.25}]}]}`
	if err := os.WriteFile(file, []byte(pools), 0o600); err != nil {
		t.Fatal(err)
	}
	c.run(ctl.ExitOK, "apply", "-f", file)
	for range 500 {
		if strings.Contains(c.run(ctl.ExitOK, "status"), "3.75") {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	var st api.Status
	if err := json.Unmarshal([]byte(c.run(ctl.ExitOK, "status", "-o", "json")), &st); err != nil {
		t.Fatal(err)
	}
	want := api.SpendStatus{Service: "clips", DataCentre: "x", Tier: "cheap", Endpoints: 3, PerHour: 3.75, Forecast: 3.75}
	if len(st.Spend) != 1 || st.Spend[0] != want || st.SpendPerHour != 3.75 || st.SpendForecast != 3.75 {
		t.Errorf("got spend %+v, total %v, total forecast %v; want one entry", st.Spend, st.SpendPerHour, st.SpendForecast)
	}
	c.wantContains(c.run(ctl.ExitOK, "status"), "PAID FOR", "FORECAST/H", "ALL INSTANCES HEARD")
}

// TestTrace checks that the lines about one step are read from several logs and
// printed in order of time, without other lines. Log collectors may put text
// before a line.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	logs := []string{
		`{"time":"2026-07-16T17:19:05.303Z","level":"INFO","msg":"step taken over","instance":"b-3","step":"s1","from":"c-1","took":51287240}` + "\n" +
			`{"time":"2026-07-16T17:19:05.400Z","level":"INFO","msg":"step taken over","instance":"b-3","step":"s10","from":"c-1"}` + "\nno JSON s1\n",
		`  4.02 c-1 {"time":"2026-07-16T17:19:05.198Z","level":"INFO","msg":"step accepted","instance":"c-1","step":"s1","samples":32}` + "\n",
	}
	args := []string{"trace", "s1"}
	for i, text := range logs {
		name := filepath.Join(dir, string(rune('a'+i)))
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, name)
	}
	got := tool{T: t}.run(ctl.ExitOK, args...)
	want := `17:19:05.198    +0.000s INFO  c-1: step accepted samples=32 step="s1"
17:19:05.303    +0.105s INFO  b-3: step taken over from="c-1" step="s1" took=51.287ms
`
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
