package attempt

import (
	"math"
	"sync"
	"time"
)

// silenceTimer bounds the time for which an endpoint sends nothing.
type silenceTimer struct {
	// keepWaiting decides whether to wait once more when the time has passed; nil
	// means no. It is called without a lock.
	keepWaiting func() bool
	// expired is called when the time has passed.
	expired func()

	mu    sync.Mutex
	timer *time.Timer
	// period is the time that is running, and run distinguishes it from earlier ones.
	period time.Duration
	run    uint64
}

// start starts the time anew.
func (s *silenceTimer) start(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		s.timer = time.AfterFunc(math.MaxInt64, s.fire)
	}
	s.run++
	s.period = d
	s.timer.Reset(d)
}

// stop stops the time. It returns false if it has passed.
func (s *silenceTimer) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run++
	return s.timer.Stop()
}

func (s *silenceTimer) fire() {
	s.mu.Lock()
	run := s.run
	s.mu.Unlock()
	keep := s.keepWaiting != nil && s.keepWaiting()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.run != run: // started anew or stopped meanwhile
	case keep:
		s.timer.Reset(s.period)
	default:
		s.expired()
	}
}
