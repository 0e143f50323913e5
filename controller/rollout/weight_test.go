package rollout_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/cumincove/cumincove/config"
	ctl "github.com/cumincove/cumincove/controller/rollout"
)

// TestTeamsShareByWeight: two teams open equal steps at the same time, and one
// of them has three times the weight of the other. When half of the groups of
// its step are complete, the step of the other team has at most two thirds as
// many complete groups.
func TestTeamsShareByWeight(t *testing.T) {
	r := newRig(t, engineOptions())
	r.publish(0, 1)
	r.apply(config.Objects{Teams: []config.Team{
		{Meta: config.Meta{Name: "celeste"}, Weight: 1}, {Meta: config.Meta{Name: "sahra"}, Weight: 3},
	}})
	const groups = 400
	heavy := 0
	progress := func(key string) (p ctl.StepProgress, err error) {
		return p, r.call(0, key, http.MethodGet, "/v1/steps/step-1", nil, &p)
	}
	for _, key := range []string{trainerKey, "other-key"} {
		r.until("open", func() error {
			return r.call(0, key, http.MethodPost, "/v1/steps", spec(groups), &ctl.OpenResponse{})
		})
	}
	r.until("half of the heavier team's groups", func() error {
		p, err := progress("other-key")
		if err == nil && p.Complete < groups/2 {
			err = fmt.Errorf("%d complete groups of %d", p.Complete, groups)
		}
		heavy = p.Complete
		return err
	})
	light, err := progress(trainerKey)
	t.Logf("%d complete groups of the heavier team, %d of the lighter one", heavy, light.Complete)
	if err != nil || light.Complete > heavy*2/3 {
		t.Errorf("%d complete groups of the heavier team, %d of the lighter one, want at most two thirds; error %v", heavy, light.Complete, err)
	}
}
