package dispatch

import (
	"strconv"
	"time"

	"github.com/cumincove/cumincove/fairqueue"
)

// queueResult is what became of work at the queue.
type queueResult int

const (
	// resultAtOnce is work that got a slot without waiting.
	resultAtOnce queueResult = iota
	// resultServed is work that got a slot after a wait.
	resultServed
	// resultRefused is work that was refused when it came.
	resultRefused
	// resultEvicted is waiting work that was turned away for work of higher rank.
	resultEvicted
	// resultExpired is work whose deadline passed while it waited.
	resultExpired
	// resultLimited is waiting work that was refused by rate limits of endpoints.
	resultLimited
	// resultCancelled is work whose caller went away while it waited.
	resultCancelled
	queueResults // number of results
)

func (r queueResult) String() string {
	return [queueResults]string{"at_once", "served", "refused", "evicted", "expired", "limited", "cancelled"}[r]
}

// maxPriorityTag bounds the priorities in tags. Lower priorities count as this one.
const maxPriorityTag = 15

func priorityTag(priority int) int { return min(max(priority, 0), maxPriorityTag) }

// count counts the result of work of a priority.
func (s *service) count(priority int, r queueResult) {
	k := priorityTag(priority)*int(queueResults) + int(r)
	c, ok := s.counters.Load(k)
	if !ok {
		c, _ = s.counters.LoadOrStore(k, s.d.opt.Scope.Tagged(map[string]string{
			"service": s.name, "priority": strconv.Itoa(priorityTag(priority)), "result": r.String(),
		}).Counter("queue_results"))
	}
	c.(interface{ Inc(int64) }).Inc(1)
}

// countWait counts the result of work that waited, and how long it did.
func (s *service) countWait(it *fairqueue.Item, queuedAt time.Duration, r queueResult) {
	s.count(it.Priority, r)
	s.d.opt.Scope.Tagged(map[string]string{
		"service": s.name, "priority": strconv.Itoa(priorityTag(it.Priority)),
	}).Timer("queue_wait").Record(s.d.opt.Clock.Now() - queuedAt)
}

// refusals summarizes refusals for the log.
type refusals struct {
	count int
	// at, item, decision and err are those of the last refusal.
	at       time.Duration
	item     fairqueue.Item
	decision fairqueue.Decision
	err      error
}

func (r *refusals) add(now time.Duration, it *fairqueue.Item, d fairqueue.Decision, err error) {
	r.count++
	r.at, r.item, r.decision, r.err = now, *it, d, err
	r.item.Data = nil
}

// logRefusals logs one line about the refusals since the last call, with the inputs
// of the last one.
func (s *service) logRefusals() {
	s.mu.Lock()
	r := s.refusals
	s.refusals = refusals{}
	s.mu.Unlock()
	if r.count == 0 {
		return
	}
	s.d.opt.Log.Info("requests refused", "service", s.name, "count", r.count, "last", r.err,
		"team", r.item.Team, "priority", r.item.Priority, "ranked", r.item.Ranked, "yields", r.item.Yields,
		"left", r.item.Deadline-r.at, "needs", r.item.Needs, "wait", r.decision.Wait, "spread", r.decision.Spread,
		"ahead", r.decision.Ahead, "rate", r.decision.Rate, "waiting", r.decision.Waiting,
		"waiting_level", r.decision.LevelWaiting, "waiting_team", r.decision.TeamWaiting)
}
