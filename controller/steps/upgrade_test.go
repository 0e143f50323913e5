package steps_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
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
