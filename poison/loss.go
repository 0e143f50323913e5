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

// LogValue is the beginning of the fingerprint in hexadecimal.
func (f Fingerprint) LogValue() slog.Value { return slog.StringValue(hex.EncodeToString(f[:6])) }

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

// Place is an endpoint and which start of it.
type Place struct {
	Endpoint    string
	Incarnation int64
}

// Loss is a request without a whole answer from the endpoint that ran it.
type Loss struct {
	// ID is unique over instances, so that a loss heard twice counts once.
	ID    string
	Place Place
	// Crashed says that the endpoint is known to have crashed.
	Crashed bool
	// Alone says that the request ran there by itself, as far as its instance
	// knew.
	Alone bool
	// Begun says that an answer had begun.
	Begun bool
	// At is the time of the loss, in this instance's boot time.
	At time.Duration
}

// same reports whether another loss is this one.
func (l Loss) same(other Loss) bool { return l.ID == other.ID }

// State is what is known of an endpoint now.
type State struct {
	// Present endpoints are listed, under Incarnation.
	Present     bool
	Incarnation int64
	// Leaving endpoints were asked to leave, so that their end is no crash.
	Leaving bool
}

// confirmation is what is known of a loss whose endpoint may have crashed.
type confirmation int

const (
	undecided confirmation = iota
	confirmed
	unconfirmable
)

// confirms says what the state of an endpoint tells of a loss at a start of it.
func (s State) confirms(at Place) confirmation {
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

// unconfirmedLosses is a bounded list of them, oldest first.
type unconfirmedLosses struct{ list []unconfirmedLoss }

// add adds a loss, once, and forgets the oldest one if there are too many.
func (u *unconfirmedLosses) add(f Fingerprint, l Loss, most int) {
	if slices.ContainsFunc(u.list, func(o unconfirmedLoss) bool { return l.same(o.Loss) }) {
		return
	}
	if len(u.list) >= most {
		u.list = slices.Delete(u.list, 0, 1)
	}
	u.list = append(u.list, unconfirmedLoss{f, l})
}

// of returns the losses of a request that are younger than a time.
func (u *unconfirmedLosses) of(f Fingerprint, after time.Duration) []Loss {
	var list []Loss
	for _, o := range u.list {
		if o.f == f && o.At > after {
			list = append(list, o.Loss)
		}
	}
	return list
}

// drop forgets losses of a request.
func (u *unconfirmedLosses) drop(f Fingerprint, which func(Loss) bool) {
	u.list = slices.DeleteFunc(u.list, func(o unconfirmedLoss) bool { return o.f == f && which(o.Loss) })
}

// take forgets the losses that are decided, and returns those that are confirmed.
func (u *unconfirmedLosses) take(judge func(Loss) confirmation) []unconfirmedLoss {
	var out []unconfirmedLoss
	u.list = slices.DeleteFunc(u.list, func(o unconfirmedLoss) bool {
		p := judge(o.Loss)
		if p == confirmed {
			out = append(out, o)
		}
		return p != undecided
	})
	return out
}
