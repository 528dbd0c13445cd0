// Package clock gives the time that leases are counted in.
//
// An Instant is a reading of one process's own clock. Readings of two
// processes are never compared; a granter answers with a deadline on the
// receiver's clock instead:
//
//	until := receiverReading.Add(leaseTime)
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on one process's clock, in nanoseconds since an origin
// of that process's own.
type Instant int64

// Never is later than every reading.
const Never Instant = 1<<63 - 1

// Add returns the instant dr later.
func (in Instant) Add(dr time.Duration) Instant {
	return in + Instant(dr)
}

// Sub returns the time from other to in.
func (in Instant) Sub(other Instant) time.Duration {
	return time.Duration(in - other)
}

// Before tells whether in is earlier than other.
func (in Instant) Before(other Instant) bool {
	return in < other
}

// Min returns the earlier of two instants.
func Min(left, right Instant) Instant {
	return min(left, right)
}

// Clock reads the current instant.
type Clock interface {
	Now() Instant
}

// Boot is the host's clock since boot. It goes on while the process or the
// whole host is suspended, so a frozen process that wakes sees its leases
// lapsed.
type Boot struct{}

// Now reads the clock.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

// processStart is the origin where the host offers no clock since boot.
var processStart = time.Now()
