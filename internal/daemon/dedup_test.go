package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/internal/daemontest"
	"github.com/cumincove/cumincove/internal/fake/fakeendpoint"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/label"
)

// newDedupTestbed adds the service "dedup" on the plain endpoints.
func newDedupTestbed(t testing.TB) *testbed {
	b := newTestbed(t)
	s := config.Service{
		Meta: config.Meta{Name: "dedup"}, Type: config.ServicePlain,
		Endpoints: label.MustParse("app=plain"), Deduplicate: true,
	}
	_, err := b.ops.Change(context.Background(), api.ChangeRequest{Put: config.Objects{Services: []config.Service{s}}})
	b.check(err)
	for i := range b.sys.Instances {
		b.eventually("service in force", func() bool {
			return b.send(i, "dedup", coachKey, "warm up "+fmt.Sprint(i), nil).status == http.StatusOK
		})
	}
	return b
}

// sendWithID sends content with an idempotency key.
func (b *testbed) sendWithID(instance int, id, content string) reply {
	return b.send(instance, "dedup", coachKey, content, func(r *http.Request) { r.Header.Set("Idempotency-Key", id) })
}

// checkCode checks that a reply has a code.
func (b *testbed) checkCode(what string, re reply, n code.Number) {
	b.t.Helper()
	if re.code != strconv.Itoa(int(n)) {
		b.t.Errorf("%s: want code %d, got %+v", what, n, re)
	}
}

func (b *testbed) setFaults(f fakeendpoint.Faults) {
	for _, e := range b.plain {
		e.SetFaults(f)
	}
}

// requestsReceived counts the requests that arrived at the plain endpoints.
func (b *testbed) requestsReceived() (n int) {
	for _, e := range b.plain {
		n += len(e.Record().Requests)
	}
	return n
}

// TestDeduplication repeats requests at another instance.
func TestDeduplication(t *testing.T) {
	b := newDedupTestbed(t)
	first := b.sendWithID(0, "a", "content a")
	b.checkCode("first", first, code.OK)
	b.eventually("recorded", func() bool { return b.sendWithID(1, "a", "content a").code != fmt.Sprint(int(code.DuplicateUnderWay)) })
	again := b.sendWithID(1, "a", "content a")
	b.checkCode("again", again, code.DuplicateRan)
	if again.body != first.body || again.status != first.status {
		t.Errorf("the stored response is %+v, the first one was %+v", again, first)
	}
	b.checkCode("other content", b.sendWithID(1, "a", "content b"), code.DuplicateWithContent)

	b.setFaults(fakeendpoint.Faults{LoseResponses: 1})
	b.checkCode("lost response", b.sendWithID(0, "c", "content c"), code.EndpointLost)
	b.setFaults(fakeendpoint.Faults{})
	b.eventually("repeat after a lost response", func() bool {
		return b.sendWithID(1, "c", "content c").code == fmt.Sprint(int(code.DuplicateMayHaveRun))
	})

	for _, e := range b.plain {
		e.Crash()
	}
	if re := b.sendWithID(0, "d", "content d"); re.effect != string(code.NotRun) {
		t.Errorf("endpoints down: %+v", re)
	}
	for _, e := range b.plain {
		e.Restart()
	}
	b.eventually("after not run", func() bool { return b.sendWithID(1, "d", "content d").status == http.StatusOK })

	b.sys.Platform.SetFaults(fakeplatform.Faults{Down: true})
	b.checkCode("table down", b.sendWithID(0, "e", "content e"), code.DedupDown)
	b.sys.Platform.SetFaults(fakeplatform.Faults{})
	b.checkCode("table back", b.sendWithID(1, "e", "content e"), code.OK)

	b.setFaults(fakeendpoint.Faults{Slow: time.Minute})
	before := b.requestsReceived()
	go b.sendWithID(0, "f", "content f")
	b.eventually("request sent", func() bool { return b.requestsReceived() > before })
	b.checkCode("under way", b.sendWithID(1, "f", "content f"), code.DuplicateUnderWay)
	b.sys.Instances[0].CutConnections()
	b.sys.Platform.RemoveInstance(b.sys.Instances[0].Settings.Name)
	b.eventually("owner removed", func() bool {
		return b.sendWithID(1, "f", "content f").code == fmt.Sprint(int(code.DuplicateMayHaveRun))
	})
	for _, content := range []string{"content a", "content c", "content d", "content e"} {
		if n := b.runs(content); n != 1 {
			t.Errorf("%s ran %d times", content, n)
		}
	}
}

// TestDeduplicationUnderFaults sends every request several times through both
// instances while endpoints and the table fail.
func TestDeduplicationUnderFaults(t *testing.T) {
	b := newDedupTestbed(t)
	const ids, copies, seed = 150, 4, 20261204
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { b.injectFaults(rand.New(rand.NewPCG(seed, 1)), stop) })
	faults.Go(func() { b.injectTableFaults(rand.New(rand.NewPCG(seed, 2)), stop) })
	var answered, stored, refused atomic.Int64
	daemontest.ForEachConcurrently(copies, ids*copies, func(k, i int) {
		content := fmt.Sprintf("dedup %d", (i-1)/copies)
		switch re := b.sendWithID(k%2, content, content); {
		case re.code == fmt.Sprint(int(code.DuplicateRan)):
			stored.Add(1)
		case re.status == http.StatusOK:
			answered.Add(1)
		case re.effect == string(code.NotRun):
			refused.Add(1)
		}
	})
	close(stop)
	faults.Wait()
	for i := range ids {
		if n := b.runs(fmt.Sprintf("dedup %d", i)); n > 1 {
			t.Errorf("ID %d ran %d times", i, n)
		}
	}
	t.Logf("%d answered, %d stored responses, %d not run of %d", answered.Load(), stored.Load(), refused.Load(), ids*copies)
	if answered.Load() == 0 || refused.Load() == 0 {
		t.Error("no request was answered or none was refused, so the test proves nothing")
	}
}

// injectTableFaults sets random faults of the table until stop is closed.
func (b *testbed) injectTableFaults(rnd *rand.Rand, stop chan struct{}) {
	defer b.sys.Platform.SetFaults(fakeplatform.Faults{})
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		f := fakeplatform.Faults{}
		switch rnd.IntN(8) {
		case 0:
			f.LoseResponses = 3
		case 1:
			f.LoseRequests = 3
		case 2:
			f.Slow = 5 * time.Millisecond
		case 3:
			f.Down = true
		}
		b.sys.Platform.SetFaults(f)
	}
}
