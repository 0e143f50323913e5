package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Fingerprint identifies a request by its team and content.
type Fingerprint [16]byte

// String returns the beginning of the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:6]) }

// Of returns the fingerprint of the parts, of which the first is the team.
func Of(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

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
	// Refuse: it crashed an endpoint again, alone.
	Refuse
)

// Options configures a Table.
type Options struct {
	// Forget is how long a loss counts.
	Forget time.Duration
	// Together is how close in time two losses at one endpoint are taken for
	// one crash.
	Together time.Duration
	// MaxSuspects bounds the table.
	MaxSuspects int
}

// DefaultOptions returns the Options for production.
func DefaultOptions() Options {
	return Options{Forget: 10 * time.Minute, Together: 5 * time.Second, MaxSuspects: 4_096}
}

// Loss is a crash of an endpoint that ran a request.
type Loss struct {
	// ID is unique over instances, so that a loss heard twice counts once.
	ID       string
	Endpoint string
	// Alone says that the request ran there by itself, as far as its instance
	// knew.
	Alone bool
	// Begun says that an answer had begun.
	Begun bool
	// At is the time of the crash, in this instance's boot time.
	At time.Duration
}

// crashesToRefuse is the number of crashes after which a request is refused.
const crashesToRefuse = 2

// maxLosses bounds the losses kept of one suspect.
const maxLosses = 8

// Table holds what is known of suspects.
type Table struct {
	opt      Options
	suspects map[Fingerprint][]Loss
	// cleared holds when a suspect was found harmless, so that older rumours
	// do not make it suspect again.
	cleared map[Fingerprint]time.Duration
}

// New returns an empty Table.
func New(opt Options) *Table {
	return &Table{
		opt:      opt,
		suspects: map[Fingerprint][]Loss{},
		cleared:  map[Fingerprint]time.Duration{},
	}
}

// Len returns the number of suspects.
func (t *Table) Len() int { return len(t.suspects) }

// Judge says how a request is to be run at time now.
func (t *Table) Judge(now time.Duration, f Fingerprint) Verdict {
	verdict := Run
	crashes, alone := 0, false
	for _, l := range t.suspects[f] {
		if now-l.At >= t.opt.Forget {
			continue
		}
		verdict = max(verdict, RunAlone)
		if l.Begun {
			verdict = RunAloneToEnd
		}
		crashes++
		alone = alone || l.Alone && !t.shared(f, l)
	}
	if crashes >= crashesToRefuse && alone {
		return Refuse
	}
	return verdict
}

// shared reports whether another suspect was lost alone in the same crash.
func (t *Table) shared(f Fingerprint, l Loss) bool {
	for other, losses := range t.suspects {
		if other == f {
			continue
		}
		for _, o := range losses {
			if o.Alone && o.Endpoint == l.Endpoint && max(o.At-l.At, l.At-o.At) < t.opt.Together {
				return true
			}
		}
	}
	return false
}

// Lost notes that a request was running at an endpoint when it crashed.
func (t *Table) Lost(now time.Duration, f Fingerprint, l Loss) {
	if now-l.At >= t.opt.Forget || l.At < t.cleared[f] {
		return
	}
	for _, known := range t.suspects[f] {
		if known.ID == l.ID {
			return
		}
	}
	if len(t.suspects[f]) >= maxLosses {
		return
	}
	if _, ok := t.suspects[f]; !ok && len(t.suspects) >= t.opt.MaxSuspects {
		t.sweep(now)
	}
	if _, ok := t.suspects[f]; !ok && len(t.suspects) >= t.opt.MaxSuspects {
		return // the older suspects are the better founded ones
	}
	t.suspects[f] = append(t.suspects[f], l)
}

// Answered notes that a request that ran alone got a whole answer, which
// clears it.
func (t *Table) Answered(now time.Duration, f Fingerprint) {
	if _, ok := t.suspects[f]; !ok {
		return
	}
	delete(t.suspects, f)
	if len(t.cleared) >= t.opt.MaxSuspects {
		clear(t.cleared)
	}
	t.cleared[f] = now
}

// sweep drops what is to be forgotten.
func (t *Table) sweep(now time.Duration) {
	for f, losses := range t.suspects {
		if now-losses[len(losses)-1].At >= t.opt.Forget {
			delete(t.suspects, f)
		}
	}
}
