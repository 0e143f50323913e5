package proctest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/internal/fake/fakeplatform"
)

// changesPerOperator is the number of changes that each operator makes in
// TestOperatorsRace.
const changesPerOperator = 15

// operator changes one team, which no other operator changes, through one
// instance.
type operator struct {
	s         *system
	client    *api.Client
	team      string
	possible  []float64 // weights of the changes that may have been committed, in order
	committed float64   // weight of the last change that was certainly committed
}

// makeChanges makes n changes one after another. It adds a change with an unknown
// outcome only to possible. A change refused as not run must have no effect, so it
// records nothing for it.
func (o *operator) makeChanges(n int) {
	for i := range n {
		weight := float64(i + 1)
		team := config.Team{Meta: config.Meta{Name: o.team}, Weight: weight}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		resp, err := o.client.Change(ctx, api.ChangeRequest{Put: config.Objects{Teams: []config.Team{team}}})
		cancel()
		var remote *api.RemoteError
		switch {
		case err == nil && resp.Committed:
			o.possible, o.committed = append(o.possible, weight), weight
		case errors.As(err, &remote) && remote.Body.Effect == string(code.NotRun):
		default:
			o.possible = append(o.possible, weight)
		}
	}
}

// TestOperatorsRace changes the configuration through two instances concurrently,
// while the store loses requests and responses and the third instance is suspended
// for a time. Committed changes must remain, refused changes must have no effect,
// no instance may return to a lower version, and all instances must end with the
// same configuration.
func TestOperatorsRace(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	load := s.startLoad(s.deploy())
	stop := s.watchVersions()
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{LoseResponses: 12, LoseRequests: 4}, nil)
	var operators []*operator
	var wg sync.WaitGroup
	for i, in := range s.instances[:2] {
		for j := range 2 {
			o := &operator{s: s, team: fmt.Sprintf("team-%d-%d", i, j)}
			o.client = &api.Client{BaseURL: "http://" + in.operators, Operator: o.team, HTTP: &http.Client{}}
			operators = append(operators, o)
			wg.Go(func() { o.makeChanges(changesPerOperator) })
		}
	}
	s.instances[2].signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	s.instances[2].signal(syscall.SIGCONT)
	wg.Wait()
	s.control(s.platform, http.MethodPut, "/control/faults", fakeplatform.Faults{}, nil)
	s.ctl(s.instances[0], `{"teams": [{"name": "last"}]}`, "apply", "-f", "-", "--wait", "30s")
	version := s.status(s.instances[0]).Version
	for _, in := range s.instances {
		// The last change was reported as in force at all instances, so none may
		// have an older version now.
		if got := s.status(in).Version; got < version {
			t.Errorf("version %d was reported as in force, but %s has %d", version, in.name, got)
		}
	}
	stop()
	for _, o := range operators {
		o.check()
	}
	s.checkAudit(version)
	load.check()
}

// check compares the team at all instances with the results that the operator
// received.
func (o *operator) check() {
	found := map[float64]bool{}
	for _, in := range o.s.instances {
		var list api.Objects
		if err := json.Unmarshal([]byte(o.s.ctl(in, "", "get", "teams", o.team, "-o", "json")), &list); err != nil {
			o.s.Fatal(err)
		}
		if len(list.Teams) != 1 {
			o.s.Errorf("%s is missing at %s", o.team, in.name)
			continue
		}
		found[list.Teams[0].Weight] = true
	}
	if len(found) != 1 {
		o.s.Errorf("instances have different weights of %s: %v", o.team, found)
	}
	for weight := range found {
		if weight < o.committed || !slices.Contains(o.possible, weight) {
			o.s.Errorf("%s has weight %v; committed %v, possible %v", o.team, weight, o.committed, o.possible)
		}
	}
	o.s.Logf("%s: %d of %d changes may have been committed", o.team, len(o.possible), changesPerOperator)
}

// checkAudit checks that every version has exactly one row in the audit trail.
func (s *system) checkAudit(version uint64) {
	var page api.AuditPage
	if err := json.Unmarshal([]byte(s.ctl(s.instances[1], "", "audit", "--limit", "1000", "-o", "json")), &page); err != nil {
		s.Fatal(err)
	}
	for i, row := range page.Rows {
		if row.Version != uint64(i+1) || row.Operator == "" || len(row.Diff) == 0 {
			s.Errorf("row %d of the audit trail is %+v", i+1, row)
		}
	}
	if uint64(len(page.Rows)) < version {
		s.Errorf("the audit trail has %d rows, but the version is %d", len(page.Rows), version)
	}
}

// watchVersions polls every instance's version until stop is called. A version must
// never decrease.
func (s *system) watchVersions() (stop func()) {
	var done atomic.Bool
	var wg sync.WaitGroup
	for _, in := range s.instances {
		client := &api.Client{BaseURL: "http://" + in.operators, HTTP: &http.Client{}}
		wg.Go(func() {
			var highest uint64
			for !done.Load() {
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				st, err := client.Status(ctx)
				cancel()
				if err == nil && st.Version < highest {
					s.Errorf("%s went from version %d back to %d", in.name, highest, st.Version)
				}
				highest = max(highest, st.Version)
				time.Sleep(pollPeriod)
			}
		})
	}
	return func() {
		done.Store(true)
		wg.Wait()
	}
}

// TestLeavingEndpoint checks that an endpoint marked as leaving receives no new
// requests soon after the change is in force, and that its running requests
// complete.
func TestLeavingEndpoint(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	load := s.startLoad(s.deploy())
	s.ctl(s.instances[0], fmt.Sprintf(`{"endpoints": [
		{"name": "engine-0", "data_centre": "dc-1", "addr": %q, "labels": {"app": "tagger"}, "leaving": true},
		{"name": "records-0", "data_centre": "dc-1", "addr": %q, "labels": {"app": "records"}, "leaving": true},
	]}`, s.engines[0], s.services[0]), "apply", "-f", "-", "--wait", "30s")
	time.Sleep(freezeTime / 4) // the brief allows a few seconds
	before := s.totalRuns(s.engines[0], s.services[0])
	time.Sleep(freezeTime / 2)
	if after := s.totalRuns(s.engines[0], s.services[0]); after != before {
		t.Errorf("leaving endpoints ran %d new requests", after-before)
	}
	load.check()
	load.checkNoneInterrupted()
}

// totalRuns returns the number of requests that the endpoints ran.
func (s *system) totalRuns(addrs ...string) int {
	n := 0
	for _, r := range s.endpointRecords(addrs) {
		for _, runs := range r.Runs {
			n += runs
		}
	}
	return n
}

// TestMemberThatNeverStarts checks that a member that does not start, because it was
// added by mistake or is late, does not stop callers, and that it can be deleted.
func TestMemberThatNeverStarts(t *testing.T) {
	s := start(t, 3, fakeArgs...)
	load := s.startLoad(s.deploy())
	s.ctl(s.instances[0], `{"members": [{"name": "ghost", "data_centre": "dc-1"}]}`, "apply", "-f", "-")
	time.Sleep(freezeTime)
	s.ctl(s.instances[0], `{"teams": [{"name": "later"}]}`, "apply", "-f", "-", "--wait", "30s")
	s.ctl(s.instances[0], "", "delete", "members", "ghost", "--wait", "30s")
	load.check()
	for _, r := range slices.Concat(load.streams, load.calls) {
		if r.refused != nil {
			t.Fatalf("a request was refused because of a missing member: %+v", *r.refused)
		}
	}
}
