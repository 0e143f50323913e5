package lease

import (
	"errors"
	"time"
)

// ErrNotHeld is returned when the lease is not held, or not held under the
// requested epoch. The operation has had no effect.
var ErrNotHeld = errors.New("lease: not held")

// Row is the content of the row that stores the lease.
type Row struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Epoch is the fencing token. Each acquisition increments it by one.
	Epoch uint64 `json:"epoch"`
	// Nonce distinguishes the writes of one incarnation.
	Nonce uint64 `json:"nonce"`
	// TakeoverWait is how long a candidate must observe the row unchanged before
	// it takes over. The holder sets it because the holder's term may be longer
	// than the candidate's.
	TakeoverWait time.Duration `json:"wait"`
	// Released is set when the holder has stopped and has no operation in
	// progress.
	Released bool `json:"released,omitempty"`
	// Successor names the candidate that the holder intends to hand off to. The
	// candidate confirms that it is running by writing its name to Ready; only
	// then does the holder release the lease to it.
	Successor string `json:"next,omitempty"`
	Ready     string `json:"ready,omitempty"`
}

// Term is a period of boot time during which a holder may start operations.
type Term struct {
	Epoch uint64
	// Until is the end of the term, in boot time.
	Until time.Duration
}

// Valid reports whether the term covers now.
func (t Term) Valid(now time.Duration) bool {
	return t.Epoch != 0 && now < t.Until
}

// Config configures a Machine. Zero durations are replaced by the defaults.
type Config struct {
	// Holder is the name of this process. Incarnation distinguishes it from
	// earlier processes of the same name.
	Holder      string
	Incarnation uint64
	// Duration is the length of a term.
	Duration time.Duration
	// Renew is the time between two renewals; by default a third of Duration.
	Renew time.Duration
	// Poll is the time between two reads by a candidate, and the wait before a
	// failed call is repeated; by default a fifth of Duration.
	Poll time.Duration
	// FastPoll replaces Poll for the candidate that the holder hands off to;
	// by default a fiftieth of Duration.
	FastPoll time.Duration
	// Drift is the largest relative difference in rate between the clocks of
	// two computers; by default 0.01.
	Drift float64
	// MaxOperationTime is the longest time that an operation can be in progress
	// after its last check; by default a fifth of Duration.
	MaxOperationTime time.Duration
	// AllowSelfTakeover allows a process to take over, without a wait, the lease
	// of an earlier process of the same name, which has a lower Incarnation. Set
	// it only if every receiver refuses operations with an older epoch: the
	// earlier process may still be running or have operations in progress.
	AllowSelfTakeover bool
}

func (c Config) withDefaults() Config {
	setDefault(&c.Renew, c.Duration/3)
	setDefault(&c.Poll, c.Duration/5)
	setDefault(&c.FastPoll, c.Duration/50)
	setDefault(&c.MaxOperationTime, c.Duration/5)
	if c.Drift == 0 {
		c.Drift = 0.01
	}
	return c
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// takeoverWait is how long a candidate must observe a row of this holder
// unchanged before it takes over.
func (c Config) takeoverWait() time.Duration {
	drift := time.Duration(float64(c.Duration) * c.Drift)
	return c.Duration + drift + c.MaxOperationTime
}
