package poison

import (
	"math"
	"slices"
	"time"
)

// Verdict indicates whether and how a request may run.
type Verdict int

// The verdicts.
const (
	// Run means that the request is not a suspect.
	Run Verdict = iota
	// RunIsolated means that the request is a suspect and must run in isolation
	// until its answer starts.
	RunIsolated
	// RunIsolatedToEnd means that the request is a suspect and was lost after its
	// answer had started, so it must run in isolation until its answer is
	// complete.
	RunIsolatedToEnd
	// Wait means that the request was recently lost at several endpoints, and
	// may run again after a pause.
	Wait
	// Refuse means that the request was lost in repeated crashes of endpoints,
	// at least once while it ran in isolation.
	Refuse
)

// Options configures a Table.
type Options struct {
	// CrashLifetime is how long a crash counts.
	CrashLifetime time.Duration
	// SameCrashWindow is the interval within which two losses at one endpoint are
	// treated as caused by the same crash.
	SameCrashWindow time.Duration
	// ConfirmWindow is how long after a loss a crash of its endpoint can be
	// confirmed. It is longer than the entry of a crashed endpoint takes to
	// expire.
	ConfirmWindow time.Duration
	// Pause is the time between two runs of a request that was lost at several
	// endpoints.
	Pause time.Duration
	// MaxSuspects bounds the number of suspects in the table, and MaxLosses the
	// number of unconfirmed losses.
	MaxSuspects int
	MaxLosses   int
}

// DefaultOptions returns the Options for production.
func DefaultOptions() Options {
	return Options{
		CrashLifetime: 10 * time.Minute, SameCrashWindow: 5 * time.Second,
		ConfirmWindow: 8 * time.Second, Pause: 5 * time.Second,
		MaxSuspects: 4_096, MaxLosses: 1_024,
	}
}

const (
	// These are numbers of different locations at which a request was lost.
	// After lossesToPause losses, or crashesToPause losses at least one of
	// which was a crash, the request waits for a pause. After crashesToRefuse
	// crashes it is refused if it ran in isolation in one of them.
	crashesToPause  = 2
	crashesToRefuse = 3
	lossesToPause   = 3
	// maxLossesPerRequest bounds the losses that are kept for one request.
	maxLossesPerRequest = 8
)

// Table contains the losses of requests, and decides from them which requests
// are suspects.
type Table struct {
	opt Options
	// crashes contains the losses at endpoints that crashed, and unconfirmed
	// those at endpoints that may have crashed.
	crashes     map[Fingerprint][]Loss
	unconfirmed unconfirmedLosses
	// cleared contains the time at which each suspect was cleared by an answer,
	// so that older loss reports do not make it a suspect again.
	cleared map[Fingerprint]time.Duration
}

// New returns an empty Table.
func New(opt Options) *Table {
	return &Table{
		opt:     opt,
		crashes: map[Fingerprint][]Loss{},
		cleared: map[Fingerprint]time.Duration{},
	}
}

// Len returns an upper bound on the number of requests with losses.
func (t *Table) Len() int { return len(t.crashes) + len(t.unconfirmed.list) }

// Judgement is the result of Judge.
type Judgement struct {
	Verdict Verdict
	// HasLosses indicates that the table has losses of the request.
	HasLosses bool
	// RetryAfter is the time until the request may run again, if the verdict is
	// Wait or Refuse.
	RetryAfter time.Duration
	// NextRunDecides indicates that the next run decides whether the request is
	// refused: it was lost in enough crashes, but in none of them in isolation.
	// SinceLastLoss is the time since its last loss.
	NextRunDecides bool
	SinceLastLoss  time.Duration
}

// Judge returns whether and how a request may run at time now.
func (t *Table) Judge(now time.Duration, f Fingerprint) Judgement {
	var crashed, lost locations
	last := time.Duration(math.MinInt64)
	verdict, isolated := Run, false
	for _, l := range t.crashes[f] {
		if now-l.At >= t.opt.CrashLifetime {
			continue
		}
		verdict = max(verdict, RunIsolated)
		if l.AnswerStarted {
			verdict = RunIsolatedToEnd
		}
		crashed.add(l.Location)
		lost.add(l.Location)
		last = max(last, l.At)
		isolated = isolated || l.Isolated && !t.sharedCrash(f, l)
	}
	for _, l := range t.unconfirmed.lossesOf(f, now-t.opt.ConfirmWindow) {
		lost.add(l.Location)
		last = max(last, l.At)
	}
	if len(lost) == 0 {
		return Judgement{}
	}
	pause := len(lost) >= lossesToPause || len(crashed) > 0 && len(lost) >= crashesToPause
	switch {
	case len(crashed) >= crashesToRefuse && isolated:
		return Judgement{Verdict: Refuse, HasLosses: true, RetryAfter: last + t.opt.CrashLifetime - now}
	case pause && now-last < t.opt.Pause:
		return Judgement{Verdict: Wait, HasLosses: true, RetryAfter: last + t.opt.Pause - now}
	}
	return Judgement{
		Verdict: verdict, HasLosses: true,
		NextRunDecides: len(crashed) >= crashesToRefuse, SinceLastLoss: now - last,
	}
}

// locations is a set of incarnations of endpoints.
type locations []Location

func (s *locations) add(at Location) {
	if !slices.Contains(*s, at) {
		*s = append(*s, at)
	}
}

// sharedCrash reports whether another suspect, which also ran in isolation as
// far as its instance could determine, was lost in the same crash.
func (t *Table) sharedCrash(f Fingerprint, l Loss) bool {
	for other, losses := range t.crashes {
		if other == f {
			continue
		}
		for _, o := range losses {
			if o.Isolated && o.Location == l.Location && max(o.At-l.At, l.At-o.At) < t.opt.SameCrashWindow {
				return true
			}
		}
	}
	return false
}

// Lost records that a request was running at an endpoint when the endpoint
// crashed, or was lost there for another reason. Lost turns a recorded
// unconfirmed loss into a crash if it is called again with the ID and Crashed
// set.
func (t *Table) Lost(now time.Duration, f Fingerprint, l Loss) {
	if at, ok := t.cleared[f]; ok && l.At < at {
		return
	}
	if !l.Crashed {
		if now-l.At < t.opt.ConfirmWindow && !slices.ContainsFunc(t.crashes[f], l.same) {
			t.unconfirmed.add(f, l, t.opt.MaxLosses)
		}
		return
	}
	t.unconfirmed.drop(f, l.same)
	if now-l.At < t.opt.CrashLifetime && !slices.ContainsFunc(t.crashes[f], l.same) {
		t.addCrash(now, f, l)
	}
}

func (t *Table) addCrash(now time.Duration, f Fingerprint, l Loss) {
	losses := t.crashes[f]
	if len(losses) >= maxLossesPerRequest {
		losses = withoutWeakest(losses)
	}
	if losses == nil && len(t.crashes) >= t.opt.MaxSuspects {
		t.sweep(now)
	}
	if losses == nil && len(t.crashes) >= t.opt.MaxSuspects {
		return // keep the older suspects: there is more evidence for them
	}
	t.crashes[f] = append(losses, l)
}

// withoutWeakest returns the list without the loss that is the weakest evidence:
// the oldest one that was not in isolation, or else the oldest one.
func withoutWeakest(list []Loss) []Loss {
	weakest := max(slices.IndexFunc(list, func(l Loss) bool { return !l.Isolated }), 0)
	return slices.Delete(slices.Clone(list), weakest, weakest+1)
}

// Answered records that a request got a complete answer. A suspect that ran in
// isolation is cleared: Answered returns the IDs of its losses, which other
// instances must forget as well.
func (t *Table) Answered(now time.Duration, f Fingerprint, isolated bool) []string {
	t.unconfirmed.drop(f, func(Loss) bool { return true })
	if !isolated || t.crashes[f] == nil {
		return nil
	}
	var ids []string
	for _, l := range t.crashes[f] {
		ids = append(ids, l.ID)
	}
	delete(t.crashes, f)
	if len(t.cleared) >= t.opt.MaxSuspects {
		clear(t.cleared)
	}
	t.cleared[f] = now
	return ids
}

// Forget removes the losses with the given IDs.
func (t *Table) Forget(ids []string) {
	for f, losses := range t.crashes {
		remaining := slices.DeleteFunc(slices.Clone(losses), func(l Loss) bool { return slices.Contains(ids, l.ID) })
		if len(remaining) == 0 {
			delete(t.crashes, f)
			continue
		}
		t.crashes[f] = remaining
	}
}

// Confirm checks the unconfirmed losses against the current states of their
// endpoints. A loss becomes a crash if its endpoint is no longer listed or has
// restarted. It is dropped without a crash if the endpoint is leaving, or after
// Options.ConfirmWindow. Confirm returns reports of the new crashes.
func (t *Table) Confirm(now time.Duration, state func(endpoint string) State) []LossReport {
	return t.confirm(now, t.unconfirmed.removeDecided(func(l Loss) confirmation {
		if now-l.At >= t.opt.ConfirmWindow {
			return unconfirmable
		}
		return state(l.Location.Endpoint).confirms(l.Location)
	}))
}

// EndpointEnded turns the unconfirmed losses at an incarnation of an endpoint
// that has ended into crashes, and returns reports of them.
func (t *Table) EndpointEnded(now time.Duration, at Location) []LossReport {
	return t.confirm(now, t.unconfirmed.removeDecided(func(l Loss) confirmation {
		if l.Location == at {
			return confirmed
		}
		return undecided
	}))
}

func (t *Table) confirm(now time.Duration, list []unconfirmedLoss) []LossReport {
	var reports []LossReport
	for _, u := range list {
		u.Crashed = true
		t.Lost(now, u.f, u.Loss)
		reports = append(reports, u.report(now, u.f))
	}
	return reports
}

// LostRepeatedly reports whether a request was lost at several endpoints. Its
// unconfirmed losses must then be reported to other instances too.
func (t *Table) LostRepeatedly(now time.Duration, f Fingerprint) bool {
	var lost locations
	for _, l := range t.crashes[f] {
		lost.add(l.Location)
	}
	for _, l := range t.unconfirmed.lossesOf(f, now-t.opt.ConfirmWindow) {
		lost.add(l.Location)
	}
	return len(lost) >= crashesToPause
}

// sweep removes the suspects whose last recorded crash no longer counts.
func (t *Table) sweep(now time.Duration) {
	for f, losses := range t.crashes {
		if now-losses[len(losses)-1].At >= t.opt.CrashLifetime {
			delete(t.crashes, f)
		}
	}
}
