package poison

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// site is two instances that send requests to endpoints. The oracle knows
// which requests crash endpoints.
type site struct {
	now    time.Duration
	tables [2]*Table
	losses int
	kills  map[byte]int
	// starts counts the starts of each endpoint.
	starts map[string]int64
}

func fingerprint(b byte) Fingerprint { return Of([]byte{b}) }

// bad reports whether request b crashes every endpoint that runs it.
func bad(b byte) bool { return b < 2 }

// place is the present start of an endpoint.
func (s *site) place(endpoint string) Place { return Place{endpoint, s.starts[endpoint]} }

func (s *site) lose(instance int, b byte, endpoint string, alone bool) {
	s.losses++
	s.tables[instance].Lost(s.now, fingerprint(b), Loss{
		ID: fmt.Sprint(s.losses), Place: s.place(endpoint), Crashed: true, Alone: alone, At: s.now,
	})
}

// run lets one request, or several in company, run at an endpoint.
func (s *site) run(t *rapid.T) {
	instance := rapid.IntRange(0, 1).Draw(t, "instance")
	endpoint := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "endpoint")
	requests := rapid.SliceOfNDistinct(rapid.ByteRange(0, 9), 1, 4, rapid.ID).Draw(t, "requests")
	var together []byte
	crash := false
	for _, b := range requests {
		switch s.tables[instance].Judge(s.now, fingerprint(b)).Verdict {
		case Wait:
		case Run:
			together = append(together, b)
			crash = crash || bad(b)
		case Refuse:
			if !bad(b) {
				t.Fatalf("harmless request %d is refused", b)
			}
		default:
			s.alone(instance, b, endpoint)
		}
	}
	if !crash {
		return
	}
	for _, b := range together {
		s.lose(instance, b, endpoint, false)
		if bad(b) {
			s.kills[b]++
		}
	}
	s.starts[endpoint]++
}

// chance lets an endpoint crash by itself under sound requests, some of which
// are there through both instances.
func (s *site) chance(t *rapid.T) {
	endpoint := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "endpoint")
	for _, b := range rapid.SliceOfNDistinct(rapid.ByteRange(2, 9), 1, 4, rapid.ID).Draw(t, "requests") {
		for instance := range rapid.IntRange(1, 2).Draw(t, "instances") {
			s.lose(instance, b, endpoint, false)
		}
	}
	s.starts[endpoint]++
}

// alone runs a suspect by itself. Time passes until the endpoint is back.
func (s *site) alone(instance int, b byte, endpoint string) {
	s.now += 10 * time.Second
	if bad(b) {
		s.kills[b]++
		s.lose(instance, b, endpoint, true)
		s.starts[endpoint]++
		return
	}
	s.tables[instance].Answered(s.now, fingerprint(b), true)
}

// tell passes rumours on, some of them twice.
func (s *site) tell(*rapid.T) {
	for _, pair := range [][2]int{{0, 1}, {1, 0}, {0, 1}} {
		s.tables[pair[1]].Hear(s.now, s.tables[pair[0]].Rumours(s.now, 1_000))
	}
}

func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := DefaultOptions()
		opt.Forget = 24 * time.Hour
		s := &site{tables: [2]*Table{New(opt), New(opt)}, kills: map[byte]int{}, starts: map[string]int64{}}
		t.Repeat(map[string]func(*rapid.T){
			"run": s.run, "tell": s.tell, "chance": s.chance,
			"wait": func(*rapid.T) { s.now += time.Second },
			"": func(t *rapid.T) {
				for b, n := range s.kills {
					// As many at each instance, if no rumour comes in time.
					if n > crashesToRefuse*len(s.tables) {
						t.Fatalf("request %d crashed %d endpoints", b, n)
					}
				}
			},
		})
	})
}

// crashAt is a crash at an endpoint, whose ID tells it from others.
func crashAt(endpoint string, at time.Duration, alone bool) Loss {
	return Loss{ID: fmt.Sprint(endpoint, at, alone), Place: Place{Endpoint: endpoint}, Crashed: true, Alone: alone, At: at}
}

func TestTwoAloneAtOnceAreNotBlamed(t *testing.T) {
	opt := DefaultOptions()
	a, b := New(opt), New(opt)
	guilty, innocent := fingerprint(0), fingerprint(9)
	for i, tab := range []*Table{a, b} {
		f := []Fingerprint{guilty, innocent}[i]
		for k, endpoint := range []string{"e1", "e2", "e3"} {
			l := crashAt(endpoint, time.Duration(k)*time.Minute, k == 2)
			l.ID += fmt.Sprint(i)
			tab.Lost(l.At, f, l)
		}
	}
	now := 3 * time.Minute
	b.Hear(now, a.Rumours(now, 10))
	if got := b.Judge(now, innocent).Verdict; got != RunAlone {
		t.Fatalf("innocent: verdict %v", got)
	}
	b.Answered(now, innocent, true)
	if got := b.Judge(now, guilty).Verdict; got != Refuse {
		t.Fatalf("guilty: verdict %v", got)
	}
}

func TestFingerprintInLogs(t *testing.T) {
	var out strings.Builder
	slog.New(slog.NewJSONHandler(&out, nil)).Info("x", "content", Fingerprint{0xab, 1})
	if !strings.Contains(out.String(), `"content":"ab0100000000"`) {
		t.Error(out.String())
	}
}

func TestForgets(t *testing.T) {
	opt := DefaultOptions()
	tab := New(opt)
	f := fingerprint(0)
	for i := range crashesToRefuse {
		tab.Lost(0, f, crashAt(fmt.Sprint(i), 0, true))
	}
	if j := tab.Judge(opt.Forget-1, f); j.Verdict != Refuse || j.After != 1 {
		t.Fatalf("forgotten early: %+v", j)
	}
	if tab.Judge(opt.Forget, f).Verdict != Run {
		t.Fatal("not forgotten in time")
	}
}

// TestOneCrashOfOneEndpointCountsOnce: a request that ran there through several
// instances was lost several times.
func TestOneCrashOfOneEndpointCountsOnce(t *testing.T) {
	tab := New(DefaultOptions())
	f := fingerprint(0)
	for i := range 5 {
		l := crashAt("e1", 0, true)
		l.ID = fmt.Sprint(i)
		tab.Lost(0, f, l)
	}
	if got := tab.Judge(time.Minute, f).Verdict; got != RunAlone {
		t.Errorf("verdict %v", got)
	}
}

// TestCrashAloneCountsAfterManyInCompany: many instances may lose a request
// before any runs it alone.
func TestCrashAloneCountsAfterManyInCompany(t *testing.T) {
	tab := New(DefaultOptions())
	f := fingerprint(0)
	for i := range 2 * maxLossesOfOne {
		tab.Lost(0, f, crashAt(fmt.Sprint(i), 0, false))
	}
	tab.Lost(time.Minute, f, crashAt("e", time.Minute, true))
	if got := tab.Judge(time.Hour/10, f).Verdict; got != Refuse {
		t.Errorf("verdict %v", got)
	}
}

// TestSoundRequestHitTwiceRunsAgainSoon: a burst of crashes may hit a request
// twice; it waits for a pause and is not refused for long.
func TestSoundRequestHitTwiceRunsAgainSoon(t *testing.T) {
	opt := DefaultOptions()
	tab := New(opt)
	f := fingerprint(0)
	tab.Lost(0, f, crashAt("e1", 0, false))
	tab.Lost(0, f, crashAt("e2", time.Second, true))
	if j := tab.Judge(time.Second, f); j.Verdict != Wait || j.After != opt.Pause {
		t.Errorf("at once: %+v", j)
	}
	if got := tab.Judge(time.Second+opt.Pause, f).Verdict; got != RunAlone {
		t.Errorf("after the pause: %v", got)
	}
}

// TestLossBeforeTheMachineStarted: heard after a restart, when it was at a
// negative time of the new machine, it counts as elsewhere.
func TestLossBeforeTheMachineStarted(t *testing.T) {
	old, young := New(DefaultOptions()), New(DefaultOptions())
	f := fingerprint(0)
	for i := range crashesToRefuse {
		old.Lost(time.Hour, f, crashAt(fmt.Sprint(i), time.Hour, false))
	}
	now := time.Hour + 20*time.Second
	young.Hear(time.Second, old.Rumours(now, 10))
	if got, want := young.Judge(time.Second, f), old.Judge(now, f); got != want || !got.Trial {
		t.Errorf("the young machine's judgement %+v, the old one's %+v", got, want)
	}
}

// TestUnconfirmedLosses: losses at endpoints that live on blame nobody, and those at
// endpoints that turn out to have crashed count as if that had been known.
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
		t.Errorf("lost at four endpoints: %v", got)
	}
	state := func(endpoint string) State { return states[endpoint] }
	if got := tab.Confirm(time.Second, state); len(got) != 0 {
		t.Errorf("confirmed %v while all are there", got)
	}
	delete(states, "gone")
	states["anew"] = State{Present: true, Incarnation: 7}
	states["leaves"] = State{Present: true, Leaving: true}
	if got := tab.Confirm(2*time.Second, state); len(got) != 2 || !got[0].Crashed || got[0].Age != 2*time.Second {
		t.Errorf("confirmed %+v", got)
	}
	if got := tab.Ended(2*time.Second, Place{Endpoint: "lives"}); len(got) != 1 {
		t.Errorf("confirmed by its address %+v", got)
	}
	if got := tab.Judge(opt.Pause, f).Verdict; got != Refuse {
		t.Errorf("after three crashes, one alone: %v", got)
	}
}

// TestAnswerEndsUnconfirmedLosses: a request that many send is lost now and then, and
// answered in between.
func TestAnswerEndsUnconfirmedLosses(t *testing.T) {
	tab := New(DefaultOptions())
	f := fingerprint(0)
	for i := range 9 {
		l := crashAt(fmt.Sprint(i), 0, false)
		l.Crashed = false
		tab.Lost(0, f, l)
		if j := tab.Judge(0, f); j.Verdict != Run || !j.Known {
			t.Fatalf("after %d losses: %+v", i+1, j)
		}
		tab.Answered(0, f, false)
	}
	if tab.Len() != 0 {
		t.Errorf("%d are left", tab.Len())
	}
}

func ExampleTable() {
	t := New(DefaultOptions())
	f := Of([]byte("team"), []byte("content"))
	crash := func(id, endpoint string, at time.Duration, alone bool) {
		t.Lost(at, f, Loss{ID: id, Place: Place{Endpoint: endpoint}, Crashed: true, Alone: alone, At: at})
	}
	crash("1", "e1", 0, false)
	fmt.Println(t.Judge(time.Second, f).Verdict == RunAlone)
	crash("2", "e2", 20*time.Second, true)
	fmt.Println(t.Judge(20*time.Second, f).Verdict == Wait)
	crash("3", "e3", 40*time.Second, true)
	fmt.Println(t.Judge(time.Minute, f).Verdict == Refuse)
	// Output:
	// true
	// true
	// true
}
