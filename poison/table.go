package poison

import (
	"math"
	"slices"
	"time"
)

// Verdict says how a request is to be run.
type Verdict int

// The verdicts.
const (
	// Run: nothing is known against it.
	Run Verdict = iota
	// RunAlone: it is suspect and runs alone until its answer begins.
	RunAlone
	// RunAloneToEnd: it is suspect, and was lost within its answer, so it runs
	// alone until its answer is whole.
	RunAloneToEnd
	// Wait: it was lost with several endpoints a moment ago, and may run again
	// after a pause.
	Wait
	// Refuse: it crashed endpoints again and again, alone as well.
	Refuse
)

// Options configures a Table.
type Options struct {
	// Forget is how long a crash counts.
	Forget time.Duration
	// Together is how close in time two losses at one endpoint are taken for
	// one crash.
	Together time.Duration
	// Confirm is how long after a loss its endpoint may still turn out to have
	// crashed. It covers the time in which a dead endpoint's entry lapses.
	Confirm time.Duration
	// Pause is the time between two runs of a request that was lost with several
	// endpoints.
	Pause time.Duration
	// MaxSuspects bounds the requests in the table, and MaxLosses the losses at
	// endpoints that are not known to have crashed.
	MaxSuspects int
	MaxLosses   int
}

// DefaultOptions returns the Options for production.
func DefaultOptions() Options {
	return Options{
		Forget: 10 * time.Minute, Together: 5 * time.Second,
		Confirm: 8 * time.Second, Pause: 5 * time.Second,
		MaxSuspects: 4_096, MaxLosses: 1_024,
	}
}

const (
	// crashesToPause, crashesToRefuse and lossesToPause are numbers of different
	// endpoints: those that crashed under a request, and those at which it was
	// lost.
	crashesToPause  = 2
	crashesToRefuse = 3
	lossesToPause   = 3
	// maxLossesOfOne bounds the losses kept of one request.
	maxLossesOfOne = 8
)

// Table holds what is known of suspects.
type Table struct {
	opt Options
	// crashes holds the losses at endpoints that crashed, and unconfirmed those at
	// endpoints that may have.
	crashes     map[Fingerprint][]Loss
	unconfirmed unconfirmedLosses
	// cleared holds when a suspect was found harmless, so that older rumours
	// do not make it suspect again.
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

// Len returns the number of requests of which losses are known, at most.
func (t *Table) Len() int { return len(t.crashes) + len(t.unconfirmed.list) }

// Judgement says how a request is to be run.
type Judgement struct {
	Verdict Verdict
	// Known says that losses of the request are known.
	Known bool
	// After is when it may be run again if it is to wait or refused.
	After time.Duration
	// Trial says that its next run decides, after crashes enough to refuse it of
	// which none was alone. Since is the time since it was lost last.
	Trial bool
	Since time.Duration
}

// Judge says how a request is to be run at time now.
func (t *Table) Judge(now time.Duration, f Fingerprint) Judgement {
	var crashed, lost places
	last := time.Duration(math.MinInt64)
	verdict, alone := Run, false
	for _, l := range t.crashes[f] {
		if now-l.At >= t.opt.Forget {
			continue
		}
		verdict = max(verdict, RunAlone)
		if l.Begun {
			verdict = RunAloneToEnd
		}
		crashed.add(l.Place)
		lost.add(l.Place)
		last = max(last, l.At)
		alone = alone || l.Alone && !t.shared(f, l)
	}
	for _, l := range t.unconfirmed.of(f, now-t.opt.Confirm) {
		lost.add(l.Place)
		last = max(last, l.At)
	}
	if len(lost) == 0 {
		return Judgement{}
	}
	often := len(lost) >= lossesToPause || len(crashed) > 0 && len(lost) >= crashesToPause
	switch {
	case len(crashed) >= crashesToRefuse && alone:
		return Judgement{Verdict: Refuse, Known: true, After: last + t.opt.Forget - now}
	case often && now-last < t.opt.Pause:
		return Judgement{Verdict: Wait, Known: true, After: last + t.opt.Pause - now}
	}
	return Judgement{
		Verdict: verdict, Known: true,
		Trial: len(crashed) >= crashesToRefuse, Since: now - last,
	}
}

// places are different endpoints, or starts of them.
type places []Place

func (p *places) add(at Place) {
	if !slices.Contains(*p, at) {
		*p = append(*p, at)
	}
}

// shared reports whether another suspect was lost alone in the same crash.
func (t *Table) shared(f Fingerprint, l Loss) bool {
	for other, losses := range t.crashes {
		if other == f {
			continue
		}
		for _, o := range losses {
			if o.Alone && o.Place == l.Place && max(o.At-l.At, l.At-o.At) < t.opt.Together {
				return true
			}
		}
	}
	return false
}

// Lost notes that a request was running at an endpoint when it crashed, or was
// lost there. A loss that is known already may turn into a crash.
func (t *Table) Lost(now time.Duration, f Fingerprint, l Loss) {
	if at, ok := t.cleared[f]; ok && l.At < at {
		return
	}
	if !l.Crashed {
		if now-l.At < t.opt.Confirm && !slices.ContainsFunc(t.crashes[f], l.same) {
			t.unconfirmed.add(f, l, t.opt.MaxLosses)
		}
		return
	}
	t.unconfirmed.drop(f, l.same)
	if now-l.At < t.opt.Forget && !slices.ContainsFunc(t.crashes[f], l.same) {
		t.addCrash(now, f, l)
	}
}

func (t *Table) addCrash(now time.Duration, f Fingerprint, l Loss) {
	known := t.crashes[f]
	if len(known) >= maxLossesOfOne {
		known = withoutWeakest(known)
	}
	if known == nil && len(t.crashes) >= t.opt.MaxSuspects {
		t.sweep(now)
	}
	if known == nil && len(t.crashes) >= t.opt.MaxSuspects {
		return // the older suspects are the better founded ones
	}
	t.crashes[f] = append(known, l)
}

// withoutWeakest leaves out the oldest loss in company, or else the oldest one.
func withoutWeakest(list []Loss) []Loss {
	weakest := max(slices.IndexFunc(list, func(l Loss) bool { return !l.Alone }), 0)
	return slices.Delete(slices.Clone(list), weakest, weakest+1)
}

// Answered notes that a request got a whole answer. One that ran alone is
// cleared by it: the IDs of its losses are returned, which others are to forget.
func (t *Table) Answered(now time.Duration, f Fingerprint, alone bool) []string {
	t.unconfirmed.drop(f, func(Loss) bool { return true })
	if !alone || t.crashes[f] == nil {
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

// Forget forgets losses by ID.
func (t *Table) Forget(ids []string) {
	for f, losses := range t.crashes {
		left := slices.DeleteFunc(slices.Clone(losses), func(l Loss) bool { return slices.Contains(ids, l.ID) })
		if len(left) == 0 {
			delete(t.crashes, f)
			continue
		}
		t.crashes[f] = left
	}
}

// Confirm looks at the losses at endpoints that are not known to have crashed.
// Those whose endpoints are gone without having been about to leave, or have
// started anew, become crashes, which it returns.
func (t *Table) Confirm(now time.Duration, state func(endpoint string) State) []Rumour {
	return t.confirm(now, t.unconfirmed.take(func(l Loss) confirmation {
		if now-l.At >= t.opt.Confirm {
			return unconfirmable
		}
		return state(l.Place.Endpoint).confirms(l.Place)
	}))
}

// Ended makes crashes of the losses at a place that is known to have ended, and
// returns them.
func (t *Table) Ended(now time.Duration, at Place) []Rumour {
	return t.confirm(now, t.unconfirmed.take(func(l Loss) confirmation {
		if l.Place == at {
			return confirmed
		}
		return undecided
	}))
}

func (t *Table) confirm(now time.Duration, list []unconfirmedLoss) []Rumour {
	var rumours []Rumour
	for _, d := range list {
		d.Crashed = true
		t.Lost(now, d.f, d.Loss)
		rumours = append(rumours, d.rumour(now, d.f))
	}
	return rumours
}

// LostOften reports whether a request was lost at several endpoints, so that
// others are to hear of losses of which nothing is confirmed.
func (t *Table) LostOften(now time.Duration, f Fingerprint) bool {
	var at places
	for _, l := range t.crashes[f] {
		at.add(l.Place)
	}
	for _, l := range t.unconfirmed.of(f, now-t.opt.Confirm) {
		at.add(l.Place)
	}
	return len(at) >= crashesToPause
}

// sweep drops what is to be forgotten.
func (t *Table) sweep(now time.Duration) {
	for f, losses := range t.crashes {
		if now-losses[len(losses)-1].At >= t.opt.Forget {
			delete(t.crashes, f)
		}
	}
}
