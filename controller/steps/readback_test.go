package steps_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cumincove/cumincove/durable"
	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/bubble"
)

const (
	// bytesPerRow is the number of bytes of a body, which is stored in base64, that
	// fill a row.
	bytesPerRow = 45_000
	// maxBody is the largest body of a submission.
	maxBody = 33_554_432
)

// sizedSpec returns a step with samples of the given sizes. Parts of a body that are
// exchanged or missing change it.
func sizedSpec(id string, sizes ...int) durable.Spec {
	s := spec(id, len(sizes))
	for i, size := range sizes {
		s.Samples[i].Body = randomBytes(uint64(i), size)
	}
	return s
}

func randomBytes(seed uint64, size int) []byte {
	rng := rand.New(rand.NewPCG(seed, uint64(size)))
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	return body
}

// newReadBackCluster returns a cluster in which instance a has accepted a step and then
// died, and instance b is left.
func newReadBackCluster(t *testing.T, s durable.Spec) *testCluster {
	cluster := newTestCluster(t, "a", "b")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := cluster.instances["a"].Accept(ctx, s); err != nil {
		t.Fatal(err)
	}
	cluster.kill("a")
	cluster.engines.forgetBodies() // that instance a sent before
	return cluster
}

// checkReadBack checks that instance b returns the bodies of a step, and sends them to
// engines when it has taken the step over.
func (cluster *testCluster) checkReadBack(s durable.Spec) error {
	b := cluster.instances["b"]
	for _, sample := range s.Samples {
		body, err := b.Body(cluster.t.Context(), s.ID, team, sample.ID)
		if err != nil || !bytes.Equal(body, sample.Body) {
			return fmt.Errorf("the body of %s, %d bytes, was read as %d bytes, error %v", sample.ID, len(sample.Body), len(body), err)
		}
	}
	cluster.setMembers([]string{"b"}, nil)
	cluster.mustRead(b, s.ID, len(s.Samples), 5*time.Minute)
	for _, sample := range s.Samples {
		if sent := cluster.engines.bodyOf(sample.ID); !bytes.Equal(sent, sample.Body) {
			return fmt.Errorf("the body of %s, %d bytes, was sent as other %d bytes", sample.ID, len(sample.Body), len(sent))
		}
	}
	return nil
}

// readBack accepts a step and reads it at another instance. Slow is the time that the
// store takes for each response.
func readBack(t *testing.T, s durable.Spec, slow time.Duration) (err error) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newReadBackCluster(t, s)
		defer cluster.stopAll()
		cluster.instances["b"].table.slow.Store(int64(slow))
		err = cluster.checkReadBack(s)
	})
	return err
}

// TestStepsCanBeReadBack guards against accepted steps that no other instance can read,
// or reads otherwise: with bodies around each limit of a row, 10 and 100 rows, a
// transaction and a page.
func TestStepsCanBeReadBack(t *testing.T) {
	edges := []int{0, bytesPerRow, 10 * bytesPerRow, 16 * bytesPerRow, 32 * bytesPerRow, 100 * bytesPerRow, 110 * bytesPerRow}
	rapid.Check(t, func(rt *rapid.T) {
		var sizes []int
		for range rapid.IntRange(1, 4).Draw(rt, "samples") {
			edge := rapid.SampledFrom(edges).Draw(rt, "edge")
			sizes = append(sizes, max(edge+rapid.IntRange(-300, 300).Draw(rt, "more"), 0))
		}
		if err := readBack(t, sizedSpec("s", sizes...), 0); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestLargestStepsCanBeReadBack is the same for steps as large as a submission may be,
// with a store that takes so long that they are not read within one claim.
func TestLargestStepsCanBeReadBack(t *testing.T) {
	thousands := make([]int, 8000)
	for i := range thousands {
		thousands[i] = maxBody / len(thousands)
	}
	for name, sizes := range map[string][]int{
		"one": {maxBody}, "two": {maxBody / 2, maxBody / 2}, "thousands": thousands,
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := sizedSpec("s", sizes...)
				cluster := newReadBackCluster(t, s)
				defer cluster.stopAll()
				b := cluster.instances["b"]
				b.table.slow.Store(int64(400 * time.Millisecond))
				cluster.setMembers([]string{"b"}, nil)
				time.Sleep(2 * time.Minute)
				if cluster.engines.bodyOf(s.Samples[0].ID) == nil {
					t.Fatal("the step was not run within 2 minutes")
				}
				for _, sample := range s.Samples {
					if sent := cluster.engines.bodyOf(sample.ID); sent != nil && !bytes.Equal(sent, sample.Body) {
						t.Fatalf("another body of %s was sent", sample.ID)
					}
				}
			})
		})
	}
}

// partRows returns the rows of a step under a prefix.
func (cluster *testCluster) partRows(id, prefix string) []infra.Row {
	cluster.t.Helper()
	rows, err := cluster.fake.Tables().Part(id).List(cluster.t.Context(), prefix, "", 1<<20)
	if err != nil {
		cluster.t.Fatal(err)
	}
	return rows
}

// TestEarlierVersionReadsRows guards against rows that the version before the letters
// in the numbers of rows joins in another order: it joins them in order of their keys.
func TestEarlierVersionReadsRows(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := sizedSpec("s", 130*bytesPerRow, 10)
		cluster := newReadBackCluster(t, s)
		defer cluster.stopAll()
		var values [][]byte
		var part []byte
		for _, row := range cluster.partRows("s", "spec/") {
			part = append(part, row.Value[1:]...)
			if row.Value[0] == '.' {
				values, part = append(values, part), nil
			}
		}
		var samples []durable.Sample
		for _, value := range values {
			var list []durable.Sample
			if err := json.Unmarshal(value, &list); err != nil {
				t.Fatal(err)
			}
			samples = append(samples, list...)
		}
		if len(samples) != 2 || !bytes.Equal(samples[0].Body, s.Samples[0].Body) {
			t.Errorf("read %d samples, want 2 with their bodies", len(samples))
		}
	})
}

// TestEarlierRowsCanBeReadBack guards against steps that can't be read because an
// earlier version wrote them: row 100 and later ones of a value without a letter, and
// a head without hashes.
func TestEarlierRowsCanBeReadBack(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := sizedSpec("s", 130*bytesPerRow, 10, 110*bytesPerRow)
		cluster := newReadBackCluster(t, s)
		defer cluster.stopAll()
		table := cluster.fake.Tables().Part("s")
		for _, row := range cluster.partRows("s", "spec/") {
			key := strings.ReplaceAll(row.Key, "/a1", "/1")
			if key == row.Key {
				continue
			}
			if err := table.Commit(t.Context(), infra.Delete(row.Key), infra.Put(key, row.Value)); err != nil {
				t.Fatal(err)
			}
		}
		cluster.editHead("s", func(head map[string]any) { delete(head, "sums") })
		if err := cluster.checkReadBack(s); err != nil {
			t.Error(err)
		}
	})
}

// editHead changes the head of a step.
func (cluster *testCluster) editHead(id string, edit func(head map[string]any)) {
	cluster.t.Helper()
	table := cluster.fake.Tables().Part(id)
	row, err := table.Get(cluster.t.Context(), "state/head")
	if err != nil {
		cluster.t.Fatal(err)
	}
	var head map[string]any
	if err := json.Unmarshal(row.Value, &head); err != nil {
		cluster.t.Fatal(err)
	}
	edit(head)
	if err := table.Commit(cluster.t.Context(), infra.PutJSON(row.Key, row.Version, head)); err != nil {
		cluster.t.Fatal(err)
	}
}

// TestChangedRowsAreNotRun guards against engines that are sent a body whose parts were
// exchanged or lost, although the rows can be decoded.
func TestChangedRowsAreNotRun(t *testing.T) {
	for name, change := range map[string]func(rows []infra.Row){
		"exchanged": func(rows []infra.Row) { rows[1].Value, rows[2].Value = rows[2].Value, rows[1].Value },
		"changed":   func(rows []infra.Row) { rows[1].Value[1000] = 'A' + (rows[1].Value[1000]-'A'+1)%26 },
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				cluster := newReadBackCluster(t, sizedSpec("s", 5*bytesPerRow))
				defer cluster.stopAll()
				rows := cluster.partRows("s", "spec/")
				change(rows)
				for _, row := range rows {
					if err := cluster.fake.Tables().Part("s").Commit(t.Context(), infra.Put(row.Key, row.Value)); err != nil {
						t.Fatal(err)
					}
				}
				cluster.setMembers([]string{"b"}, nil)
				time.Sleep(time.Minute)
				if sent := cluster.engines.bodyOf("s-0"); sent != nil {
					t.Errorf("an engine was sent %d bytes", len(sent))
				}
				if _, err := cluster.instances["b"].Body(t.Context(), "s", team, "s-0"); err == nil {
					t.Error("the body was returned")
				}
			})
		})
	}
}

// TestLargeTextsAreStored guards against steps that never end because a text does not
// fit into a transaction, also once it is encoded, and against texts that are read back
// otherwise.
func TestLargeTextsAreStored(t *testing.T) {
	for name, text := range map[string]string{
		"small":      "t",
		"row":        strings.Repeat("r", 60_000),
		"batch":      strings.Repeat("b", 390_000),
		"quotes":     strings.Repeat("\"\x01", 190_000),
		"750 kB":     strings.Repeat("s", 750_000),
		"100 rows":   strings.Repeat("h", 6_100_000),
		"in a group": strings.Repeat("g", 130_000),
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				cluster := newTestCluster(t, "a", "b")
				defer cluster.stopAll()
				cluster.engines.events = []string{"first", text}
				const samples = 4
				cluster.mustAccept(cluster.instances["a"], spec("s", samples))
				atA := cluster.read(cluster.instances["a"], "s", samples, time.Minute)
				time.Sleep(time.Second)
				if n := cluster.instances["a"].OpenSteps(); n != 0 {
					t.Errorf("%d steps still run, want none", n)
				}
				atB := cluster.read(cluster.instances["b"], "s", samples, time.Minute)
				if len(atA) != samples || len(atB) != samples {
					t.Fatalf("%d and %d results were read, want %d", len(atA), len(atB), samples)
				}
				for i, r := range atB {
					if r.Text != "first\n"+text || r.ID != atA[i].ID || atA[i].Text != r.Text {
						t.Errorf("position %d is %s with %d bytes, at the owner %s with %d", i, r.ID, len(r.Text), atA[i].ID, len(atA[i].Text))
					}
				}
			})
		})
	}
}

// TestLatePositionCanBeRead guards against an instance that returns no result at a
// position that has one, because the results before it are more than it reads at once.
func TestLatePositionCanBeRead(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, "a", "b")
		defer cluster.stopAll()
		cluster.engines.events = []string{strings.Repeat("t", 50_000)}
		const samples = 60
		cluster.mustAccept(cluster.instances["a"], spec("s", samples))
		time.Sleep(time.Minute)
		for from := samples - 1; from >= 0; from -= 7 {
			in := cluster.start(fmt.Sprint("reader", from), 1)
			list, err := in.Read(t.Context(), "s", team, from, 0)
			if err != nil || len(list.Results) == 0 || list.Next <= from {
				t.Errorf("from %d: %d results, next %d, error %v", from, len(list.Results), list.Next, err)
			}
			in.stop()
		}
	})
}

// TestUndecodableSavedStateStartsAnew guards against a step that no instance can read
// because the saved state of one sample can't be decoded.
func TestUndecodableSavedStateStartsAnew(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newReadBackCluster(t, spec("s", 2))
		defer cluster.stopAll()
		if err := cluster.fake.Tables().Part("s").Commit(t.Context(), infra.Put("saved/s-0", []byte("{"))); err != nil {
			t.Fatal(err)
		}
		cluster.setMembers([]string{"b"}, nil)
		cluster.mustRead(cluster.instances["b"], "s", 2, time.Minute)
	})
}

// TestOddRowNumbersAreIgnored guards against a row of another writer whose number makes an
// instance allocate that many rows, or makes a step unreadable.
func TestOddRowNumbersAreIgnored(t *testing.T) {
	for _, key := range []string{"spec/%s/00000/99999999", "spec/%s/00000/x", "spec/%s/00000/-1"} {
		t.Run(key, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := spec("s", 2)
				cluster := newReadBackCluster(t, s)
				defer cluster.stopAll()
				tag := strings.Split(cluster.partRows("s", "spec/")[0].Key, "/")[1]
				cluster.commit("s", infra.Put(fmt.Sprintf(key, tag), []byte(".")))
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				if err := cluster.checkReadBack(s); err != nil {
					t.Error(err)
				}
				runtime.ReadMemStats(&after)
				const limit = 256 << 20
				if n := after.TotalAlloc - before.TotalAlloc; n > limit {
					t.Errorf("%d bytes were allocated, want at most %d", n, limit)
				}
			})
		})
	}
}
