package filter

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/code"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/view"
)

// refusalDemandTime is how long after a refusal the team counts as needing more
// capacity.
const refusalDemandTime = 2 * time.Second

// TeamLimit bounds the requests in flight of a team. Each instance has an equal
// part of the team's limit, by the number of instances in the member list, and
// borrows capacity that other instances don't use. The sum over all instances
// stays within the limit, or within one request per instance if the limit is
// smaller than the number of instances; see limit.Share.
type TeamLimit struct {
	// Views, Clock, MaxRequestTime and Seq are needed only to lend and borrow.
	// MaxRequestTime is the longest time that a request takes. Seq is higher at each
	// start of the instance.
	Views          *view.Store
	Clock          clock.Clock
	MaxRequestTime time.Duration
	Seq            uint64

	teams sync.Map // team to *teamShare
}

// teamShare holds a team's requests in flight at this instance and their bound.
type teamShare struct {
	inFlight atomic.Int64
	// capacity is the bound that share returned, valid until the boot time
	// validUntil. base is this instance's own part of the team's limit.
	capacity   atomic.Int64
	validUntil atomic.Int64
	base       atomic.Int64
	// refusedAt is the boot time of the last refused request; zero means never.
	refusedAt atomic.Int64

	mu    sync.Mutex
	share *limit.Share
}

// ServeHTTP returns code.TeamLimit, or calls next.
func (l *TeamLimit) ServeHTTP(w http.ResponseWriter, r *Request, next Handler) error {
	if r.Team == "" {
		return next.ServeHTTP(w, r)
	}
	base := instancePart(r.View, r.Team)
	if base == 0 {
		return next.ServeHTTP(w, r)
	}
	t := l.team(r.Team)
	now := l.now()
	t.refresh(base, now)
	defer t.inFlight.Add(-1)
	if capacity := t.capacity.Load(); t.inFlight.Add(1) > t.capacity.Load() {
		t.refusedAt.Store(max(int64(now), 1))
		return code.New(code.TeamLimit, "team %q has %d requests in flight here", r.Team, capacity)
	}
	return next.ServeHTTP(w, r)
}

func (l *TeamLimit) now() time.Duration {
	if l.Clock == nil {
		return 0
	}
	return l.Clock.Now()
}

func (l *TeamLimit) team(name string) *teamShare {
	if t, ok := l.teams.Load(name); ok {
		return t.(*teamShare)
	}
	t, _ := l.teams.LoadOrStore(name, &teamShare{share: limit.NewShare(l.MaxRequestTime, l.Seq)})
	return t.(*teamShare)
}

// refresh updates the bound if it has expired or this instance's own part of the
// limit has changed.
func (t *teamShare) refresh(base int64, now time.Duration) {
	if t.base.Load() == base && int64(now) < t.validUntil.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.base.Store(base)
	t.share.SetBase(int(base))
	t.publish(now)
}

// publish stores the share's current capacity for ServeHTTP. The caller holds mu.
func (t *teamShare) publish(now time.Duration) {
	n, validUntil := t.share.Capacity(now)
	t.capacity.Store(int64(n))
	t.validUntil.Store(int64(validUntil))
}

// tryReduce applies a smaller bound, unless more requests than that are in flight.
// The caller holds mu.
func (t *teamShare) tryReduce(capacity int) bool {
	old := t.capacity.Swap(int64(capacity))
	if t.inFlight.Load() > int64(capacity) {
		t.capacity.Store(old)
		return false
	}
	return true
}

// desired returns the desired capacity: about twice the present capacity after a
// recent refusal, and a quarter more than the requests in flight otherwise.
func (t *teamShare) desired(now time.Duration) int {
	n := int(t.inFlight.Load())
	at := t.refusedAt.Load()
	if at > 0 && now-time.Duration(at) < refusalDemandTime {
		return 2*max(n, int(t.capacity.Load())) + 1
	}
	return n + n/4
}

// TeamBorrowRequest is a request to borrow capacity of a team's limit. In a reply
// it grants the borrowed capacity.
type TeamBorrowRequest struct {
	Team string
	limit.BorrowRequest
}

// BorrowRequests returns the requests to borrow to send to an instance.
func (l *TeamLimit) BorrowRequests(lender string) []TeamBorrowRequest {
	var list []TeamBorrowRequest
	now := l.now()
	l.each(lender, func(name string, t *teamShare) {
		t.publish(now)
		r := t.share.NewBorrowRequest(now, lender, int(t.inFlight.Load()), t.desired(now), t.tryReduce)
		t.publish(now)
		if r.Borrowed > 0 || r.Requested > 0 || r.MayBeLent {
			list = append(list, TeamBorrowRequest{Team: name, BorrowRequest: r})
		}
	})
	return list
}

// HandleBorrowRequests handles the requests to borrow that an instance sent. It
// returns the accepted ones, with Borrowed set to the capacity that the instance
// has borrowed after this call.
func (l *TeamLimit) HandleBorrowRequests(borrower string, requests []TeamBorrowRequest) []TeamBorrowRequest {
	var list []TeamBorrowRequest
	now := l.now()
	for _, r := range requests {
		base := instancePart(l.Views.Load(), r.Team)
		if base == 0 || !l.member(borrower) {
			continue
		}
		t := l.team(r.Team)
		t.refresh(base, now)
		t.mu.Lock()
		t.publish(now)
		n, ok := t.share.HandleBorrowRequest(now, borrower, r.BorrowRequest, int(t.inFlight.Load()), t.tryReduce)
		t.publish(now)
		t.mu.Unlock()
		if ok {
			r.Borrowed = n
			list = append(list, r)
		}
	}
	return list
}

// HandleGrants handles a lender's reply to requests to borrow. The requests were
// sent at the boot time sent.
func (l *TeamLimit) HandleGrants(sent time.Duration, lender string, grants []TeamBorrowRequest) {
	for _, g := range grants {
		t := l.team(g.Team)
		t.mu.Lock()
		t.share.HandleGrant(sent, lender, g.Seq, g.Borrowed)
		t.publish(l.now())
		t.mu.Unlock()
	}
}

// each calls f for each team that has a limit, with the team's lock held. It does
// nothing if the instance is not in the member list.
func (l *TeamLimit) each(instance string, f func(name string, t *teamShare)) {
	if !l.member(instance) {
		return
	}
	v := l.Views.Load()
	l.teams.Range(func(k, value any) bool {
		if instancePart(v, k.(string)) > 0 {
			t := value.(*teamShare)
			t.mu.Lock()
			defer t.mu.Unlock()
			f(k.(string), t)
		}
		return true
	})
}

func (l *TeamLimit) member(instance string) bool {
	_, ok := l.Views.Load().Config.Members[instance]
	return ok
}

// instancePart returns this instance's part of a team's limit; zero means no limit.
func instancePart(v *view.View, team string) int64 {
	maxInFlight := v.Config.Teams[team].MaxInFlight
	if maxInFlight <= 0 {
		return 0
	}
	return int64(max(maxInFlight/max(len(v.Config.Members), 1), 1))
}
