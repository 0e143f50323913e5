package rollout

import (
	"testing"
	"time"

	"github.com/cumincove/cumincove/internal/bubble"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
	"github.com/cumincove/cumincove/ledger"
	"github.com/cumincove/cumincove/rollout"
)

// TestStepsWithoutOwner: the sweeper removes the rows of a step whose owner
// died, and keeps those of a step with an owner. An instance that takes a step
// over keeps the step's deadline.
func TestStepsWithoutOwner(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newController(t, fakeplatform.New(fakeplatform.Options{}))
		open := func(id string, deadline time.Duration) stepKey {
			spec := rollout.Spec{
				ID: id, Service: "m", Prompts: make([]string, 2), Samples: 1, MaxTokens: 9, DeadlineMillis: deadline.Milliseconds(),
			}
			if _, err := c.open(t.Context(), "team", "", spec); err != nil {
				t.Fatal(err)
			}
			return stepKey{"team", id}
		}
		dead, live := open("dead", 10*time.Minute), open("live", 0)
		time.Sleep(6 * time.Minute)
		w, err := c.takeOver(t.Context(), dead)
		if err != nil {
			t.Fatal(err)
		}
		if left := w.expires - c.o.Clock.Now(); left < 4*time.Minute || left > 4*time.Minute+refreshPeriod {
			t.Errorf("%v left after a takeover 6 min into a step of 10 min, want 4 min", left)
		}
		c.drop(w)
		for range 9 {
			time.Sleep(10 * time.Minute)
			if _, err := c.pull(t.Context(), live, pullRequest{cursor: ledger.Cursor{}, max: 1}, 0); err != nil {
				t.Fatal(err)
			}
		}
		ids, err := c.rows.steps(t.Context(), "team", "", 9)
		if err != nil || len(ids) != 1 || ids[0] != "live" {
			t.Errorf("steps %v, error %v, want only the step with an owner", ids, err)
		}
		for _, prefix := range []string{dead.batches(), dead.need("m")} {
			if rows, err := c.o.Table.List(t.Context(), prefix, "", 9); err != nil || len(rows) > 0 {
				t.Errorf("rows under %s not removed: %d rows, error %v", prefix, len(rows), err)
			}
		}
	})
}
