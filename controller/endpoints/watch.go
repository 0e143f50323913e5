package endpoints

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cumincove/cumincove/infra"
)

const (
	// reportTimeout is how long an instance waits for a report on a data centre
	// before it observes the data centre itself. A random time of up to
	// reportTimeoutJitter is added.
	reportTimeout       = 5 * time.Second
	reportTimeoutJitter = 2 * time.Second
	// freshFor is how long a list counts as fresh. It leaves an instance time to
	// observe after reportTimeout and its jitter, and is shorter than the time
	// after which an order counts as carried out.
	freshFor = reportTimeout + reportTimeoutJitter + time.Second
	// missedReportJitter is the longest wait before an instance that missed a
	// report observes.
	missedReportJitter = time.Second
	// confirmPeriod is the time between two reports that only confirm a list.
	confirmPeriod = 2 * time.Second
	// forwardFor is how long each instance forwards a report, and includeChangeFor
	// how long a report includes a change.
	forwardFor       = 2 * time.Second
	includeChangeFor = 3 * time.Second
	// maxRepeats is the number of duplicates of a report without changes after
	// which an instance stops forwarding it: by then most instances have it.
	maxRepeats = 2
	// maxReportedChanges bounds the changes in a report. A report on more changes
	// contains only the digest, and every instance observes.
	maxReportedChanges = 1000
)

// Report is a report of the holder of the duty "orders" on its data centre. Of two
// reports the one with the higher Epoch, then the higher Seq, is newer.
type Report struct {
	Epoch uint64
	Seq   uint64
	// Digest is the digest of the complete list.
	Digest uint64
	// Changed are the endpoints with recent changes, and Removed the names of
	// those that were recently removed. A receiver applies the report only if
	// they turn its list into one with this Digest.
	Changed []infra.RunningEndpoint
	Removed []string
}

func (r Report) newerThan(epoch, seq uint64) bool {
	return r.Epoch > epoch || r.Epoch == epoch && r.Seq > seq
}

// Watch decides whether this instance observes a data centre, and which report on
// it is newest. A list is only ever replaced by another, never dropped because
// reports are missing. The zero value has no list and observes at once.
type Watch struct {
	epoch, seq     uint64 // of the newest report applied
	hasList        bool
	list           []infra.RunningEndpoint
	digest         uint64
	reportsApplied uint64 // number of reports applied

	due          time.Duration // when to observe without the duty
	freshUntil   time.Duration // until when the list counts as fresh
	confirmDue   time.Duration // when the holder confirms its list
	forwardUntil time.Duration
	repeats      int                      // number of duplicates received of the newest report
	changedAt    map[string]time.Duration // time of each recent change, by endpoint name
}

// List returns the running endpoints, and whether there is a list at all.
func (w *Watch) List() ([]infra.RunningEndpoint, bool) { return w.list, w.hasList }

// ObservationDue reports whether to observe now. The holder always does.
func (w *Watch) ObservationDue(now time.Duration, holder bool) bool { return holder || now >= w.due }

// Fresh reports whether the list was observed recently, by the holder or by this
// instance, and no report refers to a newer list.
func (w *Watch) Fresh(now time.Duration) bool { return w.hasList && now < w.freshUntil }

// ObservationMark returns a mark for the start of an observation, to be passed to
// ApplyObservation.
func (w *Watch) ObservationMark() uint64 { return w.reportsApplied }

// ApplyObservation applies an observation that started at the given mark. Epoch is
// the epoch of the lease if it was held throughout the observation, else 0. The
// result reports whether the list changed.
func (w *Watch) ApplyObservation(now time.Duration, mark, epoch uint64, list []infra.RunningEndpoint) bool {
	if epoch < w.epoch || epoch == 0 {
		if mark != w.reportsApplied {
			return false // a report arrived meanwhile, which may be newer
		}
		w.due = now
		w.freshUntil = now + freshFor
		changed := w.replace(now, sorted(list))
		if changed {
			w.forwardUntil = now // the report no longer matches the list
		}
		return changed
	}
	changed := w.replace(now, sorted(list))
	if changed || epoch > w.epoch || now >= w.confirmDue {
		w.setVersion(now, epoch, w.nextSeq(epoch))
		w.confirmDue = now + confirmPeriod
	}
	w.due = now + reportTimeout
	w.freshUntil = now + freshFor
	return changed
}

func (w *Watch) nextSeq(epoch uint64) uint64 {
	if epoch > w.epoch {
		return 1
	}
	return w.seq + 1
}

// HandleReport handles a received report. Jitter, in [0, 1), spreads the
// instances' next observations over time. HandleReport returns whether the report
// was applied, and whether the list changed.
func (w *Watch) HandleReport(now time.Duration, report Report, jitter float64) (applied, changed bool) {
	if !report.newerThan(w.epoch, w.seq) {
		if report.Epoch == w.epoch && report.Seq == w.seq {
			w.repeats++
		}
		return false, false
	}
	list := w.apply(report)
	if digest(list) != report.Digest {
		w.due = min(w.due, now+scale(missedReportJitter, jitter))
		w.freshUntil = min(w.freshUntil, w.due)
		return false, false
	}
	changed = w.replace(now, list)
	w.setVersion(now, report.Epoch, report.Seq)
	w.due = now + reportTimeout + scale(reportTimeoutJitter, jitter)
	w.freshUntil = now + freshFor
	return true, changed
}

// Report returns the report to send to a peer, if it is still being forwarded.
func (w *Watch) Report(now time.Duration) (Report, bool) {
	if w.epoch == 0 || now >= w.forwardUntil {
		return Report{}, false
	}
	if w.repeats >= maxRepeats && !w.changedRecently(now) {
		return Report{}, false
	}
	report := Report{Epoch: w.epoch, Seq: w.seq, Digest: w.digest}
	if len(w.changedAt) > maxReportedChanges {
		return report, true
	}
	for _, e := range w.list {
		if at, ok := w.changedAt[e.Name]; ok && now-at < includeChangeFor {
			report.Changed = append(report.Changed, e)
		}
	}
	for name, at := range w.changedAt {
		if now-at < includeChangeFor && !has(w.list, name) {
			report.Removed = append(report.Removed, name)
		}
	}
	return report, true
}

func (w *Watch) changedRecently(now time.Duration) bool {
	for _, at := range w.changedAt {
		if now-at < includeChangeFor {
			return true
		}
	}
	return false
}

// apply returns the list with a report's changes applied.
func (w *Watch) apply(report Report) []infra.RunningEndpoint {
	if len(report.Changed) == 0 && len(report.Removed) == 0 {
		return w.list
	}
	next := make(map[string]infra.RunningEndpoint, len(w.list))
	for _, e := range w.list {
		next[e.Name] = e
	}
	for _, e := range report.Changed {
		next[e.Name] = e
	}
	for _, name := range report.Removed {
		delete(next, name)
	}
	return sorted(slices.Collect(maps.Values(next)))
}

func (w *Watch) setVersion(now time.Duration, epoch, seq uint64) {
	w.epoch = epoch
	w.seq = seq
	w.reportsApplied++
	w.repeats = 0
	w.forwardUntil = now + forwardFor
}

func (w *Watch) replace(now time.Duration, list []infra.RunningEndpoint) bool {
	if w.hasList && slices.Equal(list, w.list) {
		return false
	}
	w.recordChanges(now, list)
	w.hasList = true
	w.list = list
	w.digest = digest(list)
	return true
}

// recordChanges records the time of each difference from the new list, and
// deletes older changes.
func (w *Watch) recordChanges(now time.Duration, list []infra.RunningEndpoint) {
	if w.changedAt == nil {
		w.changedAt = map[string]time.Duration{}
	}
	maps.DeleteFunc(w.changedAt, func(_ string, at time.Duration) bool { return now-at >= includeChangeFor })
	for _, e := range list {
		if !slices.Contains(w.list, e) {
			w.changedAt[e.Name] = now
		}
	}
	for _, e := range w.list {
		if !has(list, e.Name) {
			w.changedAt[e.Name] = now
		}
	}
}

// has reports whether a list, which must be sorted by name, contains the name.
func has(list []infra.RunningEndpoint, name string) bool {
	_, ok := slices.BinarySearchFunc(list, name, func(e infra.RunningEndpoint, name string) int {
		return strings.Compare(e.Name, name)
	})
	return ok
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// sorted returns a copy of a list, sorted by name. ReclaimIn is cleared, since it
// differs in each observation.
func sorted(list []infra.RunningEndpoint) []infra.RunningEndpoint {
	list = slices.Clone(list)
	for i := range list {
		list[i].ReclaimIn = 0
	}
	slices.SortFunc(list, func(a, b infra.RunningEndpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// digest returns a hash of a list, which must be sorted by name.
func digest(list []infra.RunningEndpoint) uint64 {
	h := fnv.New64a()
	for _, e := range list {
		for _, s := range []string{e.Name, e.DataCentre, e.Service, e.Tier, e.Addr, string(e.State)} {
			_, _ = h.Write([]byte(s)) // never fails
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}
