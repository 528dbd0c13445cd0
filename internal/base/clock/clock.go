// Package clock provides the time that leases are measured in.
//
// An Instant is a reading of one process's clock. Readings of two processes are
// never compared. A process that grants a lease states its deadline on the
// receiver's clock instead:
//
//	until := receiverReading.Add(leaseTime)
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time on one process's clock, in nanoseconds since an
// origin that may differ between processes.
type Instant int64

// Never is later than every reading of a clock.
const Never Instant = 1<<63 - 1

// Add returns the instant in+dr.
func (in Instant) Add(dr time.Duration) Instant {
	return in + Instant(dr)
}

// Sub returns the duration from other to in.
func (in Instant) Sub(other Instant) time.Duration {
	return time.Duration(in - other)
}

// Before reports whether in is earlier than other.
func (in Instant) Before(other Instant) bool {
	return in < other
}

// Min returns the earlier of two instants.
func Min(left, right Instant) Instant {
	return min(left, right)
}

// Clock is a source of the current instant.
type Clock interface {
	Now() Instant
}

// Boot is the host's clock since boot. It also runs while the process or the host
// is suspended, so a process that resumes sees that its leases have expired.
type Boot struct{}

// Now returns the time since boot, or since the start of the process if the host
// has no such clock.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

// processStart is the origin if the host has no clock since boot.
var processStart = time.Now()
