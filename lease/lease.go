package lease

import (
	"errors"
	"time"
)

// ErrNotHeld says that the lease is not held, or not under the epoch asked
// for. Nothing was done.
var ErrNotHeld = errors.New("lease: not held")

// Row is the content of the lease's row.
type Row struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Epoch is the fencing number. It rises by one with each acquisition.
	Epoch uint64 `json:"epoch"`
	// Nonce tells the writes of one incarnation apart.
	Nonce uint64 `json:"nonce"`
	// Wait is how long a candidate must see the row unchanged. The holder
	// says so, as its term may be longer than the candidate's would be.
	Wait time.Duration `json:"wait"`
	// Released says that the holder has stopped and has no act under way.
	Released bool `json:"released,omitempty"`
	// Next names the candidate that the holder would give way to. That
	// candidate writes its name to Ready to show that it is there; only then
	// is the lease released to it.
	Next  string `json:"next,omitempty"`
	Ready string `json:"ready,omitempty"`
}

// Term is a span of boot time in which a holder may act.
type Term struct {
	Epoch uint64
	// Until is the end of the term, in boot time.
	Until time.Duration
}

// Valid reports whether the term covers now.
func (t Term) Valid(now time.Duration) bool {
	return t.Epoch != 0 && now < t.Until
}

// Config sets a Machine up. Zero durations stand for the defaults.
type Config struct {
	// Holder is this process's name and Incarnation tells it from earlier
	// processes of the same name.
	Holder      string
	Incarnation uint64
	// Duration is the length of a term.
	Duration time.Duration
	// Renew is the time between two renewals; by default a third of Duration.
	Renew time.Duration
	// Poll is the time between two reads of a candidate, and before a failed
	// call is repeated; by default a fifth of Duration.
	Poll time.Duration
	// FastPoll is Poll for the candidate that the holder gives way to; by
	// default a fiftieth of Duration.
	FastPoll time.Duration
	// Drift is the largest relative difference in rate between two machines'
	// clocks; by default 0.01.
	Drift float64
	// ActTime is the longest time that an act may be under way after the last
	// check before it; by default a fifth of Duration.
	ActTime time.Duration
	// TakeBack lets a process acquire at once the lease of an earlier process of
	// its name, which is one with a lower Incarnation. Set it only where acts
	// with an older epoch are refused wherever they arrive: the earlier process
	// may still run, or have acts under way.
	TakeBack bool
}

func (c Config) withDefaults() Config {
	setDefault(&c.Renew, c.Duration/3)
	setDefault(&c.Poll, c.Duration/5)
	setDefault(&c.FastPoll, c.Duration/50)
	setDefault(&c.ActTime, c.Duration/5)
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

// outwait is how long a candidate must see a row of this holder unchanged.
func (c Config) outwait() time.Duration {
	drift := time.Duration(float64(c.Duration) * c.Drift)
	return c.Duration + drift + c.ActTime
}
