package steps_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
)

// readRows returns the rows of a file in testdata: those of a step with 6 samples that
// the build of the commit in its name wrote, while 4 results were stored.
func readRows(t *testing.T, file string) []infra.Row {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	var rows []infra.Row
	if err := json.NewDecoder(z).Decode(&rows); err != nil {
		t.Fatal(err)
	}
	return rows
}

// putRows writes rows so that they have their versions.
func (cluster *testCluster) putRows(id string, rows []infra.Row) {
	cluster.t.Helper()
	table := cluster.fake.Tables().Part(id)
	for _, row := range rows {
		for range row.Version {
			if err := table.Commit(cluster.t.Context(), infra.Put(row.Key, row.Value)); err != nil {
				cluster.t.Fatal(err)
			}
		}
	}
}

// TestStepOfEarlierBuildIsContinued guards against an upgrade in which this build can't
// continue a step, or returns other results or bodies than the build that wrote it: its
// bodies have up to 4.6 MB, which are 103 rows.
func TestStepOfEarlierBuildIsContinued(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "b")
		defer cluster.stopAll()
		cluster.putRows("s", readRows(t, "testdata/rows-712bc38.json.gz"))
		b := cluster.instances["b"]
		large := bytes.Repeat([]byte("0123456789"), 460_000)
		if body, err := b.Body(t.Context(), "s", team, "s-1"); err != nil || !bytes.Equal(body, large) {
			t.Errorf("the body of s-1 has %d bytes, error %v, want %d", len(body), err, len(large))
		}
		stored, err := b.Read(t.Context(), "s", team, 0, 0)
		if err != nil || len(stored.Results) != 4 {
			t.Fatalf("%d results were read, error %v, want 4", len(stored.Results), err)
		}
		all := cluster.mustRead(b, "s", 6, time.Minute)
		for i, r := range stored.Results {
			if all[i].ID != r.ID || all[i].Text != r.Text {
				t.Errorf("position %d is %s, was %s", i, all[i].ID, r.ID)
			}
		}
		if sent := cluster.engines.bodyOf("s-4"); !bytes.Equal(sent, bytes.Repeat([]byte("abc"), 40_000)) {
			t.Errorf("the body of s-4 was sent with %d bytes", len(sent))
		}
		if runs := cluster.engines.runs("s-4"); len(runs) != 1 || runs[0] == 0 {
			t.Errorf("s-4 was started after the events %v, want once, after those that were saved", runs)
		}
	})
}

// peerMessage is a request to another instance.
type peerMessage struct {
	Path, ContentType string
	Body              []byte
}

// TestMessagesOfEarlierBuild guards against an upgrade in which this build doesn't
// understand the last landed one, which asks whether it is alive, requests it to run a step
// that names it as the owner, and transfers one with the state of its samples.
func TestMessagesOfEarlierBuild(t *testing.T) {
	data, err := os.ReadFile("testdata/messages-712bc38.json")
	if err != nil {
		t.Fatal(err)
	}
	var messages []peerMessage
	if err := json.Unmarshal(data, &messages); err != nil {
		t.Fatal(err)
	}
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a", "b")
		defer cluster.stopAll()
		a, b := cluster.instances["a"], cluster.instances["b"]
		cluster.mustAccept(b, spec("s", 2))
		cluster.mustAccept(b, spec("adopted", 1))
		cluster.setOwner("adopted", "a")
		b.table.down.Store(true)
		_, handler := a.PeerHandler()
		for _, m := range messages {
			r := httptest.NewRequest(http.MethodPost, m.Path, bytes.NewReader(m.Body))
			r.Header.Set("Content-Type", m.ContentType)
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Code != http.StatusOK {
				t.Errorf("%s: %d %s", m.Path, w.Code, w.Body)
			}
		}
		time.Sleep(time.Second)
		if n := a.OpenSteps(); n != 2 {
			t.Errorf("%d steps run, want the adopted and the transferred one", n)
		}
		cluster.mustRead(a, "s", 2, time.Minute)
		if runs := cluster.engines.runs("s-1"); runs[len(runs)-1] != 2 {
			t.Errorf("s-1 was started after the events %v, last after 2, as was told", runs)
		}
		if runs := cluster.engines.runs("s-0"); len(runs) != 1 {
			t.Errorf("s-0, which was told whole, was started %d times, want once, by the earlier owner", len(runs))
		}
	})
}
