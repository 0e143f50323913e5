package steps

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/durable"
)

// selectionLogPeriod is the shortest time between two log lines of a step that tell
// that its selection of groups has changed.
const selectionLogPeriod = time.Second

// priorities is what a step's runner last read of the priorities in the configuration.
type priorities struct {
	config *config.State
	own    int
}

// updatePriority tells the step its priority in the configuration in force. The caller
// must hold r.mu.
func (r *runner) updatePriority(cfg *config.State) {
	if cfg == nil || r.priorities.config == cfg {
		return
	}
	route, ok := routeOf(cfg, r.spec)
	if !ok {
		return
	}
	r.priorities = priorities{cfg, cfg.Priority(route, r.spec.Team)}
	r.step.SetPriority(r.priorities.own, rolloutPrioritiesDiffer(cfg))
}

// rolloutPrioritiesDiffer reports whether the samples of some teams or routes have
// another priority than others. Requests of other routes have none at the engines.
func rolloutPrioritiesDiffer(cfg *config.State) bool {
	seen, first := false, 0
	differs := func(priority int) bool {
		if !seen {
			seen, first = true, priority
		}
		return priority != first
	}
	for _, route := range cfg.Routes {
		if route.Kind != config.RouteRollout {
			continue
		}
		if differs(route.Priority) {
			return true
		}
		for _, t := range cfg.Teams {
			if t.Priority != nil && differs(*t.Priority) {
				return true
			}
		}
	}
	return false
}

// scope returns the scope of the metrics of steps with this priority.
func (r *runner) scope() tally.Scope {
	return r.c.o.Scope.Tagged(map[string]string{"priority": strconv.Itoa(r.priorities.own)})
}

// reportSelection records that the selection of groups has changed. The caller must
// hold r.mu.
func (r *runner) reportSelection(now time.Duration) {
	changes := r.step.Selections() - r.selections
	if changes == 0 {
		return
	}
	r.selections += changes
	r.scope().Counter("group_selections").Inc(int64(changes))
	if r.selectionLoggedAt > 0 && now-r.selectionLoggedAt < selectionLogPeriod {
		return
	}
	r.selectionLoggedAt = now
	n, need := r.step.GroupCounts(), r.step.Need()
	r.log.Info("groups selected", "priority", r.priorities.own, "wanted", r.spec.Groups, "complete", n.Complete,
		"needed", n.Needed, "late", n.Late, "spare", n.Spare, "waiting", need.Needed.Waiting,
		"running", need.Needed.Running, "spare_running", need.Spare.Running,
		"due_ms", (need.Due - now).Milliseconds())
}

// reportGroups records the groups of a step that is done. The caller must hold r.mu.
func (r *runner) reportGroups() {
	if r.spec.Groups <= 0 {
		return
	}
	n := r.step.GroupCounts()
	r.scope().Counter("groups_complete").Inc(int64(n.Complete))
	r.scope().Counter("groups_given_up").Inc(int64(max(r.spec.Groups-n.Complete, 0)))
}

// dueAt returns the time of the clock at which the results of a step are needed.
func dueAt(now time.Duration, spec durable.Spec) time.Duration {
	return now + time.Duration(spec.Due-unixMillis())*time.Millisecond
}

// priorityOf returns the priority that the engine is told, or nil if it is told none.
func priorityOf(a durable.Start) *int {
	if !a.HasPriority {
		return nil
	}
	return &a.Priority
}
