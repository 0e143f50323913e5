package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"slices"
	"time"
)

// Fingerprint identifies a request by its team and content.
type Fingerprint [16]byte

// LogValue returns the first six bytes of the fingerprint in hexadecimal.
func (f Fingerprint) LogValue() slog.Value { return slog.StringValue(hex.EncodeToString(f[:6])) }

// NewFingerprint returns the fingerprint of the parts. The first part is the
// team.
func NewFingerprint(parts ...[]byte) Fingerprint {
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

// Location is one incarnation of an endpoint.
type Location struct {
	Endpoint    string
	Incarnation int64
}

// Loss is a request that got no complete answer from the endpoint that ran it.
type Loss struct {
	// ID is unique over all instances, so that a loss that is reported twice
	// counts once.
	ID       string
	Location Location
	// Crashed indicates that the endpoint is confirmed to have crashed.
	Crashed bool
	// Isolated indicates that the request ran in isolation, as far as its
	// instance could determine.
	Isolated bool
	// AnswerStarted indicates that the answer had started.
	AnswerStarted bool
	// At is the time of the loss, in boot time of this instance.
	At time.Duration
}

// same reports whether both have the same ID.
func (l Loss) same(other Loss) bool { return l.ID == other.ID }

// State is the last observed state of an endpoint.
type State struct {
	// Present indicates that the endpoint is listed, with Incarnation.
	Present     bool
	Incarnation int64
	// Leaving indicates that the endpoint leaves on request, so that its end is
	// not a crash.
	Leaving bool
}

// confirmation indicates whether the endpoint of a loss has crashed.
type confirmation int

const (
	undecided confirmation = iota
	confirmed
	unconfirmable
)

// confirms indicates whether the state of an endpoint shows that the incarnation
// at which a request was lost has crashed.
func (s State) confirms(at Location) confirmation {
	switch {
	case !s.Present || s.Incarnation != at.Incarnation:
		return confirmed
	case s.Leaving:
		return unconfirmable
	}
	return undecided
}

// unconfirmedLoss is a loss at an endpoint that may have crashed.
type unconfirmedLoss struct {
	f Fingerprint
	Loss
}

// unconfirmedLosses is a bounded list of unconfirmed losses, oldest first.
type unconfirmedLosses struct{ list []unconfirmedLoss }

// add adds a loss unless it is in the list. It removes the oldest loss if the
// list has limit losses already.
func (u *unconfirmedLosses) add(f Fingerprint, l Loss, limit int) {
	if slices.ContainsFunc(u.list, func(o unconfirmedLoss) bool { return l.same(o.Loss) }) {
		return
	}
	if len(u.list) >= limit {
		u.list = slices.Delete(u.list, 0, 1)
	}
	u.list = append(u.list, unconfirmedLoss{f, l})
}

// lossesOf returns the losses of a request after the given time.
func (u *unconfirmedLosses) lossesOf(f Fingerprint, after time.Duration) []Loss {
	var list []Loss
	for _, o := range u.list {
		if o.f == f && o.At > after {
			list = append(list, o.Loss)
		}
	}
	return list
}

// drop removes the losses of a request that match.
func (u *unconfirmedLosses) drop(f Fingerprint, match func(Loss) bool) {
	u.list = slices.DeleteFunc(u.list, func(o unconfirmedLoss) bool { return o.f == f && match(o.Loss) })
}

// removeDecided removes the losses for which decide does not return undecided,
// and returns the confirmed ones.
func (u *unconfirmedLosses) removeDecided(decide func(Loss) confirmation) []unconfirmedLoss {
	var crashes []unconfirmedLoss
	u.list = slices.DeleteFunc(u.list, func(o unconfirmedLoss) bool {
		c := decide(o.Loss)
		if c == confirmed {
			crashes = append(crashes, o)
		}
		return c != undecided
	})
	return crashes
}
