package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary fixed point of the current boot.
//
// Readings of the same Clock may be subtracted. Readings from different machines
// must not be compared.
type Clock interface {
	Now() time.Duration
}

// Boot is the Clock for production code. It reads CLOCK_BOOTTIME, which also
// advances while the machine is suspended (clock_gettime(2)).
type Boot struct{}

// Now returns the time since boot.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not readable: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Monotonic is a Clock based on time.Now. Inside a testing/synctest bubble it
// uses the bubble's fake time.
type Monotonic struct {
	start time.Time
}

// NewMonotonic returns a Clock that starts at zero.
func NewMonotonic() *Monotonic {
	return &Monotonic{start: time.Now()}
}

// Now returns the time since the Clock was created.
func (m *Monotonic) Now() time.Duration {
	return time.Since(m.start)
}
