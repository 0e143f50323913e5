package fairqueue

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const maxCost = 50

var teamWeights = map[string]float64{"a": 1, "b": 2, "c": 5}

// model is the oracle. It has plain lists of the waiting requests, and how much
// more service each team got than each other team.
type model struct {
	q       *Queue
	now     time.Duration
	lists   map[Class]map[string][]*Item
	running []*Item
	// lead is how much more service a team got than a team that waits, in cost
	// divided by weight: the maximum over all intervals that end now.
	lead map[Class]map[pair]float64
	// debt is the largest debt that team c can have had for usage at other
	// instances, in cost divided by weight.
	debt map[Class]float64
}

type pair struct{ ahead, behind string }

// push queues requests of one team in one class.
func (m *model) push(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	class := Class(rapid.IntRange(0, 1).Draw(t, "class"))
	for range rapid.IntRange(1, 8).Draw(t, "n") {
		m.pushOne(t, &Item{
			Team: name, Weight: teamWeights[name], Class: class,
			Cost:     rapid.SampledFrom([]float64{maxCost, 5, 1}).Draw(t, "cost"),
			Deadline: m.now + rapid.SampledFrom([]time.Duration{time.Hour, time.Hour, 3 * time.Second, 0}).Draw(t, "time"),
		})
	}
}

func (m *model) pushOne(t *rapid.T, it *Item) {
	name := it.Team
	list := m.lists[it.Class][name]
	err := m.q.Push(m.now, it)
	var wait *WaitError
	switch {
	case errors.Is(err, ErrTeamFull):
		if len(list) < m.q.opt.TeamLength {
			t.Fatalf("refused with ErrTeamFull though only %d requests of the team wait", len(list))
		}
	case errors.As(err, &wait):
		if m.now+wait.Wait < it.Deadline {
			t.Fatalf("refused for an estimated wait of %v at %v, but the deadline is %v", wait.Wait, m.now, it.Deadline)
		}
	case err != nil:
		t.Fatal(err)
	default:
		if len(list) == 0 {
			m.resetLead(it.Class, name)
		}
		m.lists[it.Class][name] = append(list, it)
	}
}

// resetLead restarts the comparison for a team that begins to wait.
func (m *model) resetLead(c Class, name string) {
	for p := range m.lead[c] {
		if p.behind == name {
			delete(m.lead[c], p)
		}
	}
}

// pop dequeues several requests.
func (m *model) pop(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "n") {
		m.popOne(t)
	}
}

func (m *model) popOne(t *rapid.T) {
	it, expired := m.q.Pop(m.now)
	for _, e := range expired {
		if e.Deadline > m.now {
			t.Fatal("request returned as expired before its deadline")
		}
		m.drop(t, e)
	}
	if it == nil {
		if m.q.Len() != 0 {
			t.Fatal("Pop returned nothing though requests wait")
		}
		return
	}
	if it.Deadline <= m.now {
		t.Fatal("request dequeued after its deadline")
	}
	if it != m.lists[it.Class][it.Team][0] {
		t.Fatal("requests of the team not dequeued first-in first-out")
	}
	m.compare(t, it)
	m.drop(t, it)
	m.running = append(m.running, it)
}

// compare checks the bound of start-time fair queueing: over any interval in
// which a team waits, the service of another team in cost divided by weight
// exceeds that of the waiting team by at most the sum of maxCost divided by the
// weight of either team.
func (m *model) compare(t *rapid.T, it *Item) {
	for pair, lead := range m.lead[it.Class] {
		if pair.behind == it.Team {
			m.lead[it.Class][pair] = max(lead-it.Cost/it.Weight, 0)
		}
	}
	for behind, list := range m.lists[it.Class] {
		if behind == it.Team || len(list) == 0 {
			continue
		}
		p := pair{ahead: it.Team, behind: behind}
		m.lead[it.Class][p] += it.Cost / it.Weight
		bound := maxCost/teamWeights[p.ahead] + maxCost/teamWeights[p.behind]
		if behind == "c" {
			bound += m.debt[it.Class]
		}
		if lead := m.lead[it.Class][p]; lead > bound+1e-6 {
			t.Fatalf("%v: lead %v, bound %v", p, lead, bound)
		}
	}
}

func (m *model) drop(t *rapid.T, it *Item) {
	list := m.lists[it.Class][it.Team]
	for i := range list {
		if list[i] == it {
			m.lists[it.Class][it.Team] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
	t.Fatal("request returned that was returned before or never queued")
}

func (m *model) cancel(t *rapid.T) {
	for _, c := range []Class{Interactive, Rollout} {
		for _, name := range []string{"a", "b", "c"} {
			list := m.lists[c][name]
			if len(list) == 0 {
				continue
			}
			it := list[rapid.IntRange(0, len(list)-1).Draw(t, "which")]
			if !m.q.Cancel(m.now, it) || m.q.Cancel(m.now, it) {
				t.Fatal("Cancel must return true for a waiting request, and false the second time")
			}
			m.drop(t, it)
			return
		}
	}
}

// charge charges team c for usage at other instances. The charge must not delay
// any other team, and must delay team c by no more than the bound on the debt.
func (m *model) charge(t *rapid.T) {
	class := Class(rapid.IntRange(0, 1).Draw(t, "class"))
	m.q.ChargeRemote("c", teamWeights["c"], class, rapid.SampledFrom([]float64{1, 1_000}).Draw(t, "cost"))
	m.debt[class] = max(m.debt[class], m.q.class[class].rate.rate*maxRemoteDebt.Seconds()/teamWeights["c"])
	m.resetLead(class, "c")
}

func (m *model) done(*rapid.T) {
	if len(m.running) > 0 {
		m.q.Done(m.now, m.running[0], m.running[0].Cost)
		m.running = m.running[1:]
	}
}

func (m *model) check(t *rapid.T) {
	n := 0
	for c := range m.lists {
		for name, list := range m.lists[c] {
			n += len(list)
			if got := m.q.class[c].teams[name]; got != nil && got.len != len(list) {
				t.Fatalf("%s: %d requests wait, want %d", name, got.len, len(list))
			}
		}
	}
	if m.q.Len() != n {
		t.Fatalf("Len returned %d, want %d", m.q.Len(), n)
	}
}

func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := DefaultOptions()
		opt.TeamLength = 6
		m := &model{q: New(opt), lists: map[Class]map[string][]*Item{}, lead: map[Class]map[pair]float64{}, debt: map[Class]float64{}}
		for _, c := range []Class{Interactive, Rollout} {
			m.lists[c] = map[string][]*Item{}
			m.lead[c] = map[pair]float64{}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": m.push, "pop": m.pop, "cancel": m.cancel, "done": m.done, "charge": m.charge,
			"wait": func(t *rapid.T) { m.now += time.Second },
			"":     m.check,
		})
	})
}

// TestRolloutFloor checks the shares of both classes while both wait:
// interactive requests have full priority until FloorAfter, and rollout
// requests get RolloutFloor from then on.
func TestRolloutFloor(t *testing.T) {
	q := New(DefaultOptions())
	var cost [classes]float64
	for i := range 5_000 {
		now := time.Duration(i) * 10 * time.Millisecond
		for _, c := range []Class{Interactive, Rollout} {
			_ = q.Push(now, &Item{Team: "a", Class: c, Cost: 10, Deadline: time.Hour})
		}
		it, _ := q.Pop(now)
		if now < q.opt.FloorAfter {
			if it.Class != Interactive {
				t.Fatalf("rollout request dequeued before an interactive one at %v", now)
			}
			continue
		}
		cost[it.Class] += it.Cost
	}
	share := cost[Rollout] / (cost[Rollout] + cost[Interactive])
	if share < 0.09 || share > 0.11 {
		t.Fatalf("rollout requests got a share of %v of the cost, want about %v", share, q.opt.RolloutFloor)
	}
}

// TestUnderestimatedCostIsMadeUp checks that a team whose requests have an
// estimated cost of 1 and an actual cost of 100 gets no more than its share.
func TestUnderestimatedCostIsMadeUp(t *testing.T) {
	q := New(DefaultOptions())
	used := map[string]float64{}
	for range 10_000 {
		_ = q.Push(0, &Item{Team: "liar", Cost: 1, Deadline: time.Hour})
		_ = q.Push(0, &Item{Team: "honest", Cost: 100, Deadline: time.Hour})
		it, _ := q.Pop(0)
		used[it.Team] += 100
		q.Done(0, it, 100)
	}
	if ratio := used["liar"] / used["honest"]; ratio > 1.1 {
		t.Fatalf("the team that underestimates its cost got %v times the service of the other team", ratio)
	}
}

func ExampleQueue() {
	q := New(DefaultOptions())
	deadline := time.Minute
	for i := range 3 {
		_ = q.Push(0, &Item{Team: "big", Cost: 100, Deadline: deadline, Data: i})
	}
	_ = q.Push(0, &Item{Team: "small", Cost: 10, Deadline: deadline, Data: 0})
	for {
		it, _ := q.Pop(0)
		if it == nil {
			break
		}
		fmt.Println(it.Team, it.Data)
	}
	// Output:
	// big 0
	// small 0
	// big 1
	// big 2
}
