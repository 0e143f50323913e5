package poison

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// cluster models two instances that send requests to endpoints. The function bad
// is the oracle: it determines which requests crash endpoints.
type cluster struct {
	now    time.Duration
	tables [2]*Table
	losses int
	// crashes counts the crashes that each request caused.
	crashes map[byte]int
	// starts counts the starts of each endpoint.
	starts map[string]int64
}

func fingerprint(b byte) Fingerprint { return NewFingerprint([]byte{b}) }

// bad reports whether request b crashes every endpoint that runs it.
func bad(b byte) bool { return b < 2 }

// location returns the current incarnation of an endpoint.
func (c *cluster) location(endpoint string) Location { return Location{endpoint, c.starts[endpoint]} }

func (c *cluster) lose(instance int, b byte, endpoint string, isolated bool) {
	c.losses++
	c.tables[instance].Lost(c.now, fingerprint(b), Loss{
		ID: fmt.Sprint(c.losses), Location: c.location(endpoint), Crashed: true, Isolated: isolated, At: c.now,
	})
}

// run runs one or several requests together at an endpoint.
func (c *cluster) run(t *rapid.T) {
	instance := rapid.IntRange(0, 1).Draw(t, "instance")
	endpoint := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "endpoint")
	requests := rapid.SliceOfNDistinct(rapid.ByteRange(0, 9), 1, 4, rapid.ID).Draw(t, "requests")
	var together []byte
	crash := false
	for _, b := range requests {
		switch c.tables[instance].Judge(c.now, fingerprint(b)).Verdict {
		case Wait:
		case Run:
			together = append(together, b)
			crash = crash || bad(b)
		case Refuse:
			if !bad(b) {
				t.Fatalf("harmless request %d is refused", b)
			}
		default:
			c.runIsolated(instance, b, endpoint)
		}
	}
	if !crash {
		return
	}
	for _, b := range together {
		c.lose(instance, b, endpoint, false)
		if bad(b) {
			c.crashes[b]++
		}
	}
	c.starts[endpoint]++
}

// crashUnrelated crashes an endpoint independently of the requests that it runs.
// All of them are harmless, and some were sent by both instances.
func (c *cluster) crashUnrelated(t *rapid.T) {
	endpoint := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "endpoint")
	for _, b := range rapid.SliceOfNDistinct(rapid.ByteRange(2, 9), 1, 4, rapid.ID).Draw(t, "requests") {
		for instance := range rapid.IntRange(1, 2).Draw(t, "instances") {
			c.lose(instance, b, endpoint, false)
		}
	}
	c.starts[endpoint]++
}

// runIsolated runs a suspect in isolation, after the time that a crashed
// endpoint needs to restart.
func (c *cluster) runIsolated(instance int, b byte, endpoint string) {
	c.now += 10 * time.Second
	if bad(b) {
		c.crashes[b]++
		c.lose(instance, b, endpoint, true)
		c.starts[endpoint]++
		return
	}
	c.tables[instance].Answered(c.now, fingerprint(b), true)
}

// exchangeReports sends the loss reports of each instance to the other one, some
// of them twice.
func (c *cluster) exchangeReports(*rapid.T) {
	for _, pair := range [][2]int{{0, 1}, {1, 0}, {0, 1}} {
		c.tables[pair[1]].HandleReports(c.now, c.tables[pair[0]].LossReports(c.now, 1_000))
	}
}

func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := DefaultOptions()
		opt.CrashLifetime = 24 * time.Hour
		c := &cluster{tables: [2]*Table{New(opt), New(opt)}, crashes: map[byte]int{}, starts: map[string]int64{}}
		t.Repeat(map[string]func(*rapid.T){
			"run": c.run, "tell": c.exchangeReports, "chance": c.crashUnrelated,
			"wait": func(*rapid.T) { c.now += time.Second },
			"": func(t *rapid.T) {
				for b, n := range c.crashes {
					// Each instance may need crashesToRefuse crashes if no
					// report from the other one arrives in time.
					if n > crashesToRefuse*len(c.tables) {
						t.Fatalf("request %d crashed %d endpoints", b, n)
					}
				}
			},
		})
	})
}

// crashAt returns a loss in a crash of an endpoint. Its ID is derived from the
// arguments.
func crashAt(endpoint string, at time.Duration, isolated bool) Loss {
	return Loss{ID: fmt.Sprint(endpoint, at, isolated), Location: Location{Endpoint: endpoint}, Crashed: true, Isolated: isolated, At: at}
}

// TestConcurrentIsolatedRunsAreNotBlamed checks that a crash does not count as an
// isolated one for either of two requests that two instances ran in isolation at
// the same endpoint at the same time. Once one of them is cleared, it counts for
// the other.
func TestConcurrentIsolatedRunsAreNotBlamed(t *testing.T) {
	opt := DefaultOptions()
	a, b := New(opt), New(opt)
	crashing, harmless := fingerprint(0), fingerprint(9)
	for i, tab := range []*Table{a, b} {
		f := []Fingerprint{crashing, harmless}[i]
		for k, endpoint := range []string{"e1", "e2", "e3"} {
			l := crashAt(endpoint, time.Duration(k)*time.Minute, k == 2)
			l.ID += fmt.Sprint(i)
			tab.Lost(l.At, f, l)
		}
	}
	now := 3 * time.Minute
	b.HandleReports(now, a.LossReports(now, 10))
	if got := b.Judge(now, harmless).Verdict; got != RunIsolated {
		t.Fatalf("harmless request: got verdict %v, want an isolated run", got)
	}
	b.Answered(now, harmless, true)
	if got := b.Judge(now, crashing).Verdict; got != Refuse {
		t.Fatalf("crashing request: got verdict %v, want Refuse", got)
	}
}

func TestFingerprintInLogs(t *testing.T) {
	var out strings.Builder
	slog.New(slog.NewJSONHandler(&out, nil)).Info("x", "content", Fingerprint{0xab, 1})
	if !strings.Contains(out.String(), `"content":"ab0100000000"`) {
		t.Error(out.String())
	}
}

func TestCrashesExpire(t *testing.T) {
	opt := DefaultOptions()
	tab := New(opt)
	f := fingerprint(0)
	for i := range crashesToRefuse {
		tab.Lost(0, f, crashAt(fmt.Sprint(i), 0, true))
	}
	if j := tab.Judge(opt.CrashLifetime-1, f); j.Verdict != Refuse || j.RetryAfter != 1 {
		t.Fatalf("crash no longer counts before its lifetime has passed: %+v", j)
	}
	if tab.Judge(opt.CrashLifetime, f).Verdict != Run {
		t.Fatal("crash still counts after its lifetime")
	}
}

// TestOneCrashOfOneEndpointCountsOnce checks that one crash counts once for a
// request that several instances were running there, each of which reports a
// loss.
func TestOneCrashOfOneEndpointCountsOnce(t *testing.T) {
	tab := New(DefaultOptions())
	f := fingerprint(0)
	for i := range 5 {
		l := crashAt("e1", 0, true)
		l.ID = fmt.Sprint(i)
		tab.Lost(0, f, l)
	}
	if got := tab.Judge(time.Minute, f).Verdict; got != RunIsolated {
		t.Errorf("got verdict %v, want an isolated run", got)
	}
}

// TestIsolatedCrashCountsAfterManySharedLosses checks that a crash in isolation
// counts although many losses next to other requests came before it. This
// happens when many instances lose a request before one of them runs it in
// isolation.
func TestIsolatedCrashCountsAfterManySharedLosses(t *testing.T) {
	tab := New(DefaultOptions())
	f := fingerprint(0)
	for i := range 2 * maxLossesPerRequest {
		tab.Lost(0, f, crashAt(fmt.Sprint(i), 0, false))
	}
	tab.Lost(time.Minute, f, crashAt("e", time.Minute, true))
	if got := tab.Judge(time.Hour/10, f).Verdict; got != Refuse {
		t.Errorf("got verdict %v, want Refuse", got)
	}
}

// TestHarmlessRequestLostTwiceRunsAgain checks that a harmless request that was
// lost twice in a burst of crashes waits for a pause and is not refused for
// long.
func TestHarmlessRequestLostTwiceRunsAgain(t *testing.T) {
	opt := DefaultOptions()
	tab := New(opt)
	f := fingerprint(0)
	tab.Lost(0, f, crashAt("e1", 0, false))
	tab.Lost(0, f, crashAt("e2", time.Second, true))
	if j := tab.Judge(time.Second, f); j.Verdict != Wait || j.RetryAfter != opt.Pause {
		t.Errorf("immediately after the second loss: got %+v, want a full pause", j)
	}
	if got := tab.Judge(time.Second+opt.Pause, f).Verdict; got != RunIsolated {
		t.Errorf("after the pause: got verdict %v, want an isolated run", got)
	}
}

// TestLossBeforeBoot checks that a loss counts the same at an instance that
// receives the report shortly after its host started. The loss then has a
// negative boot time.
func TestLossBeforeBoot(t *testing.T) {
	older, newer := New(DefaultOptions()), New(DefaultOptions())
	f := fingerprint(0)
	for i := range crashesToRefuse {
		older.Lost(time.Hour, f, crashAt(fmt.Sprint(i), time.Hour, false))
	}
	now := time.Hour + 20*time.Second
	newer.HandleReports(time.Second, older.LossReports(now, 10))
	if got, want := newer.Judge(time.Second, f), older.Judge(now, f); got != want || !got.NextRunDecides {
		t.Errorf("judgement of the restarted instance %+v, want %+v, and that the next run decides", got, want)
	}
}

// TestUnconfirmedLosses checks that losses at endpoints that stay up do not make
// a request a suspect, and that losses at endpoints that are later found to have
// crashed count as if the crash had been confirmed at the time of the loss.
func TestUnconfirmedLosses(t *testing.T) {
	opt := DefaultOptions()
	tab := New(opt)
	f := fingerprint(0)
	states := map[string]State{}
	for i, endpoint := range []string{"lives", "gone", "anew", "leaves"} {
		states[endpoint] = State{Present: true}
		l := crashAt(endpoint, 0, i == 1)
		l.Crashed = false
		tab.Lost(0, f, l)
	}
	if got := tab.Judge(0, f).Verdict; got != Wait {
		t.Errorf("after losses at four endpoints: got verdict %v, want Wait", got)
	}
	state := func(endpoint string) State { return states[endpoint] }
	if got := tab.Confirm(time.Second, state); len(got) != 0 {
		t.Errorf("Confirm returned %v while all endpoints are listed", got)
	}
	delete(states, "gone")
	states["anew"] = State{Present: true, Incarnation: 7}
	states["leaves"] = State{Present: true, Leaving: true}
	if got := tab.Confirm(2*time.Second, state); len(got) != 2 || !got[0].Crashed || got[0].Age != 2*time.Second {
		t.Errorf("Confirm returned %+v, want two crashes with an age of 2s", got)
	}
	if got := tab.EndpointEnded(2*time.Second, Location{Endpoint: "lives"}); len(got) != 1 {
		t.Errorf("EndpointEnded returned %+v, want one crash", got)
	}
	if got := tab.Judge(opt.Pause, f).Verdict; got != Refuse {
		t.Errorf("after three crashes, one of them in isolation: got verdict %v, want Refuse", got)
	}
}

// TestAnswerEndsUnconfirmedLosses checks that an answer removes the unconfirmed
// losses of its request. Otherwise a request that many callers send, and that is
// lost occasionally, would have to wait.
func TestAnswerEndsUnconfirmedLosses(t *testing.T) {
	tab := New(DefaultOptions())
	f := fingerprint(0)
	for i := range 9 {
		l := crashAt(fmt.Sprint(i), 0, false)
		l.Crashed = false
		tab.Lost(0, f, l)
		if j := tab.Judge(0, f); j.Verdict != Run || !j.HasLosses {
			t.Fatalf("after %d losses: %+v", i+1, j)
		}
		tab.Answered(0, f, false)
	}
	if tab.Len() != 0 {
		t.Errorf("%d losses are left, want none", tab.Len())
	}
}

func ExampleTable() {
	t := New(DefaultOptions())
	f := NewFingerprint([]byte("team"), []byte("content"))
	crash := func(id, endpoint string, at time.Duration, isolated bool) {
		t.Lost(at, f, Loss{ID: id, Location: Location{Endpoint: endpoint}, Crashed: true, Isolated: isolated, At: at})
	}
	crash("1", "e1", 0, false)
	fmt.Println(t.Judge(time.Second, f).Verdict == RunIsolated)
	crash("2", "e2", 20*time.Second, true)
	fmt.Println(t.Judge(20*time.Second, f).Verdict == Wait)
	crash("3", "e3", 40*time.Second, true)
	fmt.Println(t.Judge(time.Minute, f).Verdict == Refuse)
	// Output:
	// true
	// true
	// true
}
