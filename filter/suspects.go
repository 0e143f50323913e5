package filter

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/poison"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// SuspectsOptions configures Suspects.
type SuspectsOptions struct {
	// Name is this instance's name in the member list. Instance is its name and
	// incarnation, which make the IDs of losses unique.
	Name     string
	Instance string
	Clock    clock.Clock
	// Views provides the current endpoints and members.
	Views *view.Store
	// Log is optional.
	Log   *slog.Logger
	Scope tally.Scope
}

// Suspects records which requests were lost with their endpoints, and decides how
// these requests are run: a request whose endpoint crashed may have caused the
// crash. It is safe for concurrent use.
type Suspects struct {
	// ReportLoss, if set, reports a loss to other instances, and RetractLosses, if
	// set, notifies them of losses that they must remove. Both are set before the
	// first request.
	ReportLoss    func(poison.LossReport)
	RetractLosses func(ids []string)

	o SuspectsOptions
	// count is the number of requests in table. While it is zero, no fingerprints
	// are computed for new requests.
	count   atomic.Int64
	lossSeq atomic.Uint64

	mu    sync.Mutex
	table *poison.Table
	// isolated contains the requests that run in isolation at this instance. The
	// channel is closed when the run ends.
	isolated map[poison.Fingerprint]chan struct{}
}

// NewSuspects returns Suspects without recorded losses.
func NewSuspects(o SuspectsOptions) *Suspects {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Suspects{
		o: o, table: poison.New(poison.DefaultOptions()),
		isolated: map[poison.Fingerprint]chan struct{}{},
	}
}

// Run checks each new snapshot for endpoints that have crashed, until ctx ends.
func (s *Suspects) Run(ctx context.Context) error {
	for {
		changed := s.o.Views.Changed()
		s.confirmCrashes()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// HandleReports adds losses that another instance reported.
func (s *Suspects) HandleReports(reports []poison.LossReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.HandleReports(s.o.Clock.Now(), reports)
	s.updateCount()
}

// updateCount updates count. The caller holds mu.
func (s *Suspects) updateCount() { s.count.Store(int64(s.table.Len())) }

// hasSuspects reports whether losses of any request are recorded.
func (s *Suspects) hasSuspects() bool { return s.count.Load() > 0 }

// judge decides how a request is run. If its next run is the trial that decides
// whether it is refused, only one instance at a time may run it.
func (s *Suspects) judge(f poison.Fingerprint) poison.Judgement {
	s.mu.Lock()
	j := s.table.Judge(s.o.Clock.Now(), f)
	s.mu.Unlock()
	if j.NextRunDecides && !s.isTrialInstance(f, j.SinceLastLoss) {
		j.Verdict, j.RetryAfter = poison.Wait, trialWait
	}
	return j
}

const (
	// trialPeriod is how long one instance is responsible for the trial of a
	// request that crashed many endpoints, before another one is.
	trialPeriod = 20 * time.Second
	// trialWait is the retry delay that callers of the other instances get.
	trialWait = 2 * time.Second
)

// isTrialInstance reports whether this instance may run the trial of a request now.
// That is the instance with the highest trialWeight of those that are not leaving.
func (s *Suspects) isTrialInstance(f poison.Fingerprint, since time.Duration) bool {
	var best string
	var highest uint64
	for name, m := range s.o.Views.Load().Members {
		if m.Leaving {
			continue
		}
		if weight := trialWeight(f, name, int64(since/trialPeriod)); best == "" || weight > highest {
			best, highest = name, weight
		}
	}
	return best == "" || best == s.o.Name
}

// trialWeight returns an instance's rendezvous hash for the trial of a request in a
// period.
func trialWeight(f poison.Fingerprint, name string, period int64) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%s/", period, name) // a hash never returns an error
	_, _ = h.Write(f[:])
	return h.Sum64()
}

// recordLoss records a loss. It is reported to other instances if its endpoint
// crashed or if the request has been lost at several endpoints.
func (s *Suspects) recordLoss(r poison.LossReport) {
	r.ID = s.o.Instance + "/" + strconv.FormatUint(s.lossSeq.Add(1), 10)
	s.HandleReports([]poison.LossReport{r})
	s.mu.Lock()
	disseminate := r.Crashed || s.table.LostRepeatedly(s.o.Clock.Now(), r.Fingerprint)
	s.mu.Unlock()
	if disseminate {
		s.disseminate(r)
	}
}

// disseminate reports losses to other instances.
func (s *Suspects) disseminate(reports ...poison.LossReport) {
	if s.ReportLoss == nil {
		return
	}
	for _, r := range reports {
		s.ReportLoss(r)
	}
}

// confirmCrashes turns losses into crashes if their endpoints have been removed or
// restarted.
func (s *Suspects) confirmCrashes() {
	if !s.hasSuspects() {
		return
	}
	v := s.o.Views.Load()
	s.reportCrashes("entry", func(now time.Duration) []poison.LossReport {
		return s.table.Confirm(now, func(endpoint string) poison.State {
			e, ok := v.EndpointByName(endpoint)
			if !ok {
				return poison.State{}
			}
			return poison.State{Present: true, Incarnation: e.Incarnation, Leaving: e.Leaving}
		})
	})
}

// endpointEnded records that an endpoint is no longer at its address.
func (s *Suspects) endpointEnded(e *view.Endpoint) {
	if !s.hasSuspects() {
		return
	}
	s.reportCrashes("address", func(now time.Duration) []poison.LossReport {
		return s.table.EndpointEnded(now, locationOf(e))
	})
}

// reportCrashes logs and disseminates the losses that find turns into crashes. The
// caller must not hold mu.
func (s *Suspects) reportCrashes(evidence string, find func(now time.Duration) []poison.LossReport) {
	s.mu.Lock()
	reports := find(s.o.Clock.Now())
	s.updateCount()
	s.mu.Unlock()
	for _, r := range reports {
		s.o.Scope.Counter("endpoint_crashes").Inc(1)
		s.o.Log.Warn("endpoint crashed", "endpoint", r.Endpoint, "incarnation", r.Incarnation,
			"content", r.Fingerprint, "alone", r.Isolated, "evidence", evidence, "age", r.Age)
	}
	s.disseminate(reports...)
}

func locationOf(e *view.Endpoint) poison.Location {
	return poison.Location{Endpoint: e.Name, Incarnation: e.Incarnation}
}

// recordCompleteResponse records a complete response. Losses that it clears are
// retracted at other instances.
func (s *Suspects) recordCompleteResponse(f poison.Fingerprint, isolated bool) {
	s.mu.Lock()
	ids := s.table.Answered(s.o.Clock.Now(), f, isolated)
	s.updateCount()
	s.mu.Unlock()
	if len(ids) > 0 && s.RetractLosses != nil {
		s.RetractLosses(ids)
	}
}

// Forget removes losses by ID, after another instance has cleared their requests.
func (s *Suspects) Forget(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Forget(ids)
	s.updateCount()
}

// isolate waits until no other request with the fingerprint runs in isolation
// at this instance, and returns a function that ends the caller's isolation.
func (s *Suspects) isolate(ctx context.Context, f poison.Fingerprint) (end func(), err error) {
	for {
		s.mu.Lock()
		running, ok := s.isolated[f]
		if !ok {
			done := make(chan struct{})
			s.isolated[f] = done
			s.mu.Unlock()
			return sync.OnceFunc(func() { s.endIsolation(f, done) }), nil
		}
		s.mu.Unlock()
		select {
		case <-running:
		case <-ctx.Done():
			return nil, stopError(ctx)
		}
	}
}

func (s *Suspects) endIsolation(f poison.Fingerprint, done chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.isolated, f)
	close(done)
}

// fingerprint returns the fingerprint of a request's team, target and content. The
// target of a request with a route is the host instead of the service, since
// operators may change the service of a route.
func fingerprint(r *Request) poison.Fingerprint {
	target := r.Service.Name
	if r.Route.Name != "" {
		target = r.Host
	}
	return poison.NewFingerprint([]byte(r.Team), []byte(target), []byte(r.Method),
		[]byte(r.Path), []byte(r.URL.RawQuery), r.Body)
}
