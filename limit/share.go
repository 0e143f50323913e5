package limit

import "time"

// lendDuration is how long borrowed capacity may be used for new requests
// without a message from the lender.
const lendDuration = 10 * time.Second

// Share is one instance's part of a limit on requests in flight that several
// instances enforce together. Instances lend each other unused capacity.
//
// The lender counts lent capacity as used until the borrower returns it, or
// until the last request that could have started with it must have ended. Lost,
// late and repeated messages and partitioned instances can therefore leave
// capacity unused for a time, but capacity is never used twice. The one
// exception is an instance that is replaced: it has no record of the capacity
// it lent until the borrower sends its next request. The sum can then exceed
// the limit by at most the replaced instance's part.
//
// A Share needs a lock around it when goroutines share it.
type Share struct {
	base           int
	maxRequestTime time.Duration
	seq            uint64
	lent           map[string]lentCapacity // by borrower
	borrowed       map[string]lentCapacity // by lender
}

// lentCapacity is lent capacity as the lender or the borrower records it.
type lentCapacity struct {
	n int
	// until is the end of the record. At the lender, the capacity is free again
	// from then on. At the borrower, it may be used for new requests until then.
	until time.Duration
	seq   uint64
	// mayBeLent is set if the lender has lent capacity and has not confirmed
	// since then that all of it was returned.
	mayBeLent bool
}

// BorrowRequest is a message from a borrower to a lender. The borrower uses at
// most Borrowed of the lender's capacity and requests Requested more. A
// BorrowRequest with a higher Seq supersedes all earlier ones.
type BorrowRequest struct {
	Seq       uint64
	Borrowed  int
	Requested int
	// MayBeLent is set if the lender may still count capacity as lent to the
	// borrower.
	MayBeLent bool
}

// NewShare returns a Share whose own part is zero. All requests must end within
// maxRequestTime. Seq must be higher than any sequence number that earlier
// processes of this instance used.
func NewShare(maxRequestTime time.Duration, seq uint64) *Share {
	return &Share{maxRequestTime: maxRequestTime, seq: seq, lent: map[string]lentCapacity{}, borrowed: map[string]lentCapacity{}}
}

// SetBase sets this instance's own part.
func (s *Share) SetBase(n int) { s.base = n }

// Capacity returns how many requests may be in flight at this instance now, and
// until when this is valid if no messages arrive.
func (s *Share) Capacity(now time.Duration) (n int, until time.Duration) {
	n, until = s.base, now+lendDuration
	for borrower, l := range s.lent {
		if now >= l.until {
			delete(s.lent, borrower)
			continue
		}
		n -= l.n
		until = min(until, l.until)
	}
	for lender, l := range s.borrowed {
		switch {
		case now >= l.until+s.maxRequestTime:
			delete(s.borrowed, lender)
		case now < l.until:
			n += l.n
			until = min(until, l.until)
		}
	}
	return max(n, 0), until
}

// NewBorrowRequest returns the BorrowRequest to send to a lender. At this
// instance, used requests are in flight and a capacity of requested is needed.
// Borrowed capacity that is no longer needed is returned to the lender if
// tryReduce returns true. tryReduce limits the requests in flight to a smaller
// capacity, or returns false if more requests than that are in flight.
func (s *Share) NewBorrowRequest(now time.Duration, lender string, used, requested int, tryReduce func(capacity int) bool) BorrowRequest {
	capacity, _ := s.Capacity(now)
	s.seq++
	l := s.borrowed[lender]
	counted := l.n
	if now >= l.until {
		counted = 0
	}
	keep := min(counted, max(max(used, requested)-(capacity-counted), 0))
	if keep < l.n && tryReduce(capacity-counted+keep) {
		l.n = keep
	}
	l.seq = s.seq
	l.until = max(l.until, now-s.maxRequestTime+time.Second) // keeps the entry and its seq for at least a second
	s.borrowed[lender] = l
	return BorrowRequest{Seq: s.seq, Borrowed: l.n, Requested: max(requested-capacity, 0), MayBeLent: l.mayBeLent}
}

// HandleBorrowRequest processes a BorrowRequest. It returns the capacity that is
// lent to the borrower from then on, and false if the request was superseded. It
// lends at most half of the free capacity. tryReduce is the same as in
// NewBorrowRequest.
func (s *Share) HandleBorrowRequest(now time.Duration, borrower string, req BorrowRequest, used int, tryReduce func(capacity int) bool) (int, bool) {
	capacity, _ := s.Capacity(now)
	old := s.lent[borrower]
	if req.Seq <= old.seq {
		return 0, false
	}
	borrowed := min(max(req.Borrowed, 0), s.base)
	free := capacity + old.n - borrowed
	more := min(max(req.Requested, 0), max(free-used, 0)/2)
	if more > 0 && !tryReduce(free-more) {
		more = 0
	}
	s.lent[borrower] = lentCapacity{n: borrowed + more, until: now + lendDuration + s.maxRequestTime, seq: req.Seq}
	return borrowed + more, true
}

// HandleGrant processes the response to the BorrowRequest with number seq that
// was sent to lender at time sent. n is the capacity that is lent to this
// instance.
func (s *Share) HandleGrant(sent time.Duration, lender string, seq uint64, n int) {
	switch l := s.borrowed[lender]; {
	case l.seq != seq:
	case n == 0:
		delete(s.borrowed, lender)
	default:
		s.borrowed[lender] = lentCapacity{n: n, until: sent + lendDuration, seq: seq, mayBeLent: true}
	}
}
