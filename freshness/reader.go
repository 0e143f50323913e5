package freshness

import (
	"errors"
	"slices"
	"time"
)

// maxContacted bounds the number of contacted instances that a Reader remembers
// although they are not members.
const maxContacted = 4096

// ErrLowerVersion is returned when a version is lower than the installed one.
var ErrLowerVersion = errors.New("freshness: version is below the installed one")

// Report states that, Age ago, Member vouched and had no version or fact that
// the sender of the Report does not have.
type Report struct {
	Member string
	Age    time.Duration
}

// Reader determines whether one instance is fresh. It is not safe for
// concurrent use.
type Reader struct {
	self  string
	bound time.Duration

	version uint64
	members []string

	storeRead   bool                     // whether the store was read since the start
	storeReadAt time.Duration            // start of the newest store read that counts
	reportedAt  map[string]time.Duration // time of the newest report, by member
	contacted   map[string]bool          // instances that replied to an exchange since the start
	caughtUp    bool                     // whether it has received all that a contacted majority had
}

// NewReader returns a Reader for the instance self, which has just started.
// Reports and store reads count for the duration bound.
func NewReader(self string, bound time.Duration) *Reader {
	return &Reader{
		self:       self,
		bound:      bound,
		reportedAt: make(map[string]time.Duration),
		contacted:  make(map[string]bool),
	}
}

// Install records that the instance now uses a version with its member list. It
// returns ErrLowerVersion, and changes nothing, if a higher version is
// installed.
func (r *Reader) Install(version uint64, members []string) error {
	if version < r.version {
		return ErrLowerVersion
	}
	// Majorities of consecutive lists intersect, so the contacts made so far
	// suffice after a change by one member. After any other change a majority
	// of the new list must be contacted.
	step := difference(r.members, members) + difference(members, r.members)
	if step > 1 || !slices.Contains(members, r.self) {
		r.caughtUp = false
	}
	r.version = version
	r.members = slices.Clone(members)
	for name := range r.reportedAt {
		if !slices.Contains(members, name) {
			delete(r.reportedAt, name)
		}
	}
	return nil
}

// Members returns the installed member list. The caller must not modify it.
func (r *Reader) Members() []string { return r.members }

// Version returns the installed version.
func (r *Reader) Version() uint64 { return r.version }

// HandleStoreRead records that a read of the store, started at started, returned
// version. It reports whether the read counts. It does not count if version is
// higher than the installed one, which the caller must install first.
func (r *Reader) HandleStoreRead(started time.Duration, version uint64) bool {
	if version > r.version {
		return false
	}
	if !r.storeRead || started > r.storeReadAt {
		r.storeReadAt = started
	}
	r.storeRead = true
	return true
}

// HasReadStore reports whether the store has been read since the start.
func (r *Reader) HasReadStore() bool { return r.storeRead }

// HandleReply records that peer replied to an exchange, which this instance
// started at started, with its version and reports. It reports whether the
// reply counts. It does not count if version is higher than the installed one.
// The caller must first install such a version and adopt every other fact in
// the reply.
func (r *Reader) HandleReply(started time.Duration, peer string, version uint64, reports []Report) bool {
	if version > r.version {
		return false
	}
	if len(r.contacted) < maxContacted || slices.Contains(r.members, peer) {
		r.contacted[peer] = true
	}
	for _, report := range reports {
		r.handleReport(started, report)
	}
	return true
}

func (r *Reader) handleReport(started time.Duration, report Report) {
	if report.Age < 0 || report.Member == r.self || !slices.Contains(r.members, report.Member) {
		return
	}
	at := started - report.Age
	if old, ok := r.reportedAt[report.Member]; !ok || at > old {
		r.reportedAt[report.Member] = at
	}
}

// Vouches reports whether this instance's own report counts. The instance must
// be a member, must have read the store, and must have contacted enough members
// that at least one of them is in every majority.
// From then on it vouches as long as the list changes by one member at a time,
// so that a member that is added and never starts does not stop the others from
// vouching.
func (r *Reader) Vouches() bool {
	if !r.storeRead || !slices.Contains(r.members, r.self) {
		return false
	}
	r.caughtUp = r.caughtUp || r.contactedMajority()
	return r.caughtUp
}

func (r *Reader) contactedMajority() bool {
	others := 0
	for _, m := range r.members {
		if m != r.self && r.contacted[m] {
			others++
		}
	}
	return others >= min(majority(len(r.members)), len(r.members)-1)
}

// Reports returns the reports with which this instance may reply to an exchange
// at now: its own report, if it vouches, and the received reports that are
// still within the bound.
func (r *Reader) Reports(now time.Duration) []Report {
	reports := make([]Report, 0, len(r.members))
	for _, m := range r.members {
		if m == r.self {
			if r.Vouches() {
				reports = append(reports, Report{Member: m})
			}
			continue
		}
		if at, ok := r.reportedAt[m]; ok && now-at < r.bound {
			reports = append(reports, Report{Member: m, Age: now - at})
		}
	}
	return reports
}

// Fresh reports whether this instance may use its configuration at now.
func (r *Reader) Fresh(now time.Duration) bool {
	until, ok := r.FreshUntil(now)
	return ok && now < until
}

// FreshUntil returns the boot time at which the instance stops being fresh
// unless it receives more reports, and false if it has too few reports. If the
// instance vouches, its own report counts as of now.
//
// If there is a member list, only reports count, because the store does not
// contain facts that members have but could not commit yet. If there is no
// member list, a read of the store counts.
func (r *Reader) FreshUntil(now time.Duration) (time.Duration, bool) {
	if len(r.members) > 0 {
		return r.reportsUntil(now)
	}
	return r.storeReadAt + r.bound, r.storeRead
}

// reportsUntil returns the time at which fewer than a majority of the reports
// are within the bound.
func (r *Reader) reportsUntil(now time.Duration) (time.Duration, bool) {
	times := make([]time.Duration, 0, len(r.members))
	for _, m := range r.members {
		if m == r.self && r.Vouches() {
			times = append(times, now)
		} else if at, ok := r.reportedAt[m]; ok {
			times = append(times, at)
		}
	}
	need := majority(len(r.members))
	if len(times) < need {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-need] + r.bound, true
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }
