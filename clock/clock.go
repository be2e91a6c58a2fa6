// Package clock measures time spans that include those in which the machine was
// suspended. Go's monotonic clock stops then, so that an age taken from it is
// too low after a suspension.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on the machine's boot clock. The zero value is before
// all moments of a running process.
type Instant int64

// Now returns the present moment. Where the boot clock can't be read, the
// monotonic clock stands in.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Instant(time.Since(started) + time.Hour)
	}
	return Instant(t.Nano())
}

var started = time.Now()

// Since returns the time from the instant until now.
func (i Instant) Since() time.Duration { return Now().Sub(i) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
